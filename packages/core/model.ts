import type { Job, TaskState } from '#wire';
import { ServiceCounter } from './fairshare.js';
import { TaskSet } from './taskset.js';

/** One attempt of a task on one machine, from the decision until it is proven gone. */
export interface Assignment {
  job: JobState;
  index: number;
  attempt: number;
  machine: Machine;
  /** Durable in the machine's record; only then may the start be sent. */
  recorded: boolean;
  /** Read from the record of an earlier term and not yet seen in a report. */
  inherited: boolean;
  /** The start was sent, in an answer or directly. */
  told: boolean;
  /** Number of the first report whose answer carried the start. */
  sentSeq: number | null;
  /** Answers that carried the start without it showing in the next report. */
  misses: number;
  reported: TaskState | null;
  stop: { graceS: number; at: number; direct: boolean } | null;
  /** Share of the fleet booked for it. */
  share: number;
  since: number;
  runningSince: number | null;
}

export interface JobState {
  job: Job;
  /** What decides, zones of its other tasks apart, on which machines a task fits. */
  shape: string;
  /** On the steady clock of this process. */
  acceptedAt: number;
  phase: 'accepted' | 'aborted' | 'done';
  done: TaskSet;
  /** Done tasks that the state service doesn't hold yet. */
  unsaved: boolean;
  /** Every place where a task may still be, by task. */
  places: Map<number, Assignment[]>;
  /** Tasks below the cursor that lost their place. */
  requeued: Set<number>;
  cursor: number;
  failures: number;
  notBefore: number;
  service: ServiceCounter;
  waitingSince: number;
}

export interface Machine {
  name: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'up' | 'dark';
  bornAt: number;
  session: number;
  /** Newest message of any kind, and newest report to which an answer was given. */
  seq: number;
  helloSeq: number;
  /** What our answers carry: the term, or the revision of the machine's last hand-over if later. */
  token: number;
  /** The next record of this machine raises its token, so that older commands have no effect. */
  fencing: boolean;
  /** The token was raised; what is loose is harmless once a report shows it. */
  fenced: boolean;
  /** Attempts whose direct start was not answered: it may still arrive, until a higher token. */
  loose: Map<string, number>;
  /** A direct command is under way. */
  calling: boolean;
  /** No direct commands until then. */
  callAfter: number;
  /** A report has shown this term's token, so older commands and answers can have no effect. */
  confirmed: boolean;
  /** When the last report that was answered arrived. */
  answeredAt: number;
  darkAt: number;
  noticeAt: number | null;
  /** Takes no new work. */
  draining: boolean;
  avoidUntil: number;
  /** Since when its reports have been answered without a gap. */
  steadySince: number;
  /** Since when they have not shown the token of the answers before them. */
  unheardSince: number | null;
  errors: number;
  /** Names of images, most recently used last. */
  images: Map<string, number>;
  tasks: Map<string, Assignment>;
  used: { cpus: number; gpus: number; memory: number };
  /** Rises whenever a task comes or goes. */
  changes: number;
  idleSince: number;
  /** Gang that this machine is kept free for. */
  reservedFor: string | null;
  /** Room made here by stopping work waits for this job until then. */
  heldFor: { job: JobState; until: number } | null;
  listedFailed: boolean;
}

export interface FleetSettings {
  leaseS: number;
  reportS: number;
  gangPeerS: number;
  /** How long an earlier owner may have gone on answering after losing its term. */
  formerOwnerS: number;
  halfLifeS: number;
  maxTasksPerMachine: number;
}

/** Every place where a task of the job may still be. */
export function* assignmentsOf(job: JobState): Generator<Assignment> {
  for (const list of [...job.places.values()]) yield* list;
}
