/**
 * Words that names in the code no longer use, and the terms of the field in their place.
 *
 * `docs/glossary.md` explains the terms. The rule `local/retired-words` checks every declared name
 * of the finished folders (`eslint/readable.js`).
 */

/** Retired word or words, in lower case -> term. Forms of a word are listed one by one. */
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

/** Phrases in which a retired word is right: terms of the field, and names of the platform. */
export const ALLOWED_PHRASES = [
  'fencing token',
  'fencing tokens',
  'abort controller',
  'abort signal',
  'on abort',
  'signal aborted',
];

/**
 * Files that map names on the wire or in stored records to names of the code. Properties of their
 * interfaces and type literals may have any name; everything else they declare is checked.
 */
export const CODEC_FILES = ['packages/**/*codec.ts', 'packages/**/codecs/**/*.ts'];
