/**
 * Retired words, which names in the code must not contain, and the terms that replace them.
 *
 * `docs/glossary.md` explains the terms. The rule `local/retired-words` checks every declared name in the folders of
 * `eslint/readable.js`.
 */

/** Maps each retired word or phrase, in lower case, to its replacement. Each form of a word has its own entry. */
export const RETIRED_WORDS = {
  owner: 'leader',
  owners: 'leaders',
  owned: 'led',
  unowned: 'leaderless',
  ownership: 'leadership',
  report: 'heartbeat',
  reports: 'heartbeats',
  part: 'shard',
  parts: 'shards',
  heard: 'last heartbeat or reachable',
  note: 'record or observe',
  notes: 'records or observes',
  noted: 'recorded or observed',
  vitals: 'process statistics',
  duty: 'loop, service or reconciler',
  duties: 'loops, services or reconcilers',
  rent: 'scale out or provision',
  rents: 'scales out or provisions',
  rented: 'provisioned',
  renting: 'provisioning',
  rental: 'scale-out',
  rentals: 'scale-outs',
  hesitate: 'defer',
  hesitates: 'defers',
  hesitated: 'deferred',
  hesitation: 'deferral',
  entitlement: 'leader lease',
  entitlements: 'leader leases',
  entitled: 'holds the leader lease',
  handover: 'transfer',
  handovers: 'transfers',
  'hand over': 'transfer',
  await: 'dependency',
  awaits: 'dependencies',
  awaited: 'dependency',
  awaiting: 'dependent',
  abort: 'cancel',
  aborts: 'cancels',
  aborted: 'cancelled',
  aborting: 'cancelling',
  surplus: 'idle',
  useless: 'idle',
  impatient: 'overdue',
  settled: 'a name for the state reached',
  anew: 'again',
  saved: 'checkpointed',
  token: 'fencingToken',
  tokens: 'fencingTokens',
  session: 'epoch',
  sessions: 'epochs',
  fit: 'capacity',
  room: 'capacity',
  rooms: 'capacities',
  suspect: 'crashLooping',
  suspects: 'crashLooping',
};

/** Phrases that may contain a retired word: established technical terms, and names of the JavaScript platform. */
export const ALLOWED_PHRASES = [
  'fencing token',
  'fencing tokens',
  'abort controller',
  'abort signal',
  'on abort',
  'signal aborted',
];

/**
 * Files that map names on the wire or in stored records to names in the code. Properties of their interfaces and type
 * literals may have any name; all other names that these files declare are checked.
 */
export const CODEC_FILES = ['packages/**/*codec.ts', 'packages/**/codecs/**/*.ts'];
