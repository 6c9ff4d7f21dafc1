/** Exchanges the task counts of jobs, which every controller shows to users. */
import type { CountsFrame, PeerLink } from '#peer';
import type { ShardLeader } from '../leadership/shard-leader.js';
import { countAllTasks, countChangedTasks } from '../observability/task-counts.js';
import type { ControllerServices } from '../services.js';

/** Rounds of counts from one that holds all open jobs to the next; the others hold what has changed. */
const FULL_COUNT_ROUNDS = 10;
/** Jobs whose counts share a frame. */
const MAX_COUNTS_PER_FRAME = 500;

/** What the exchange reads and where it sends. */
export interface TaskCountExchangeOptions extends Pick<ControllerServices, 'jobs'> {
  peers: PeerLink;
}

/** The leader counts the tasks of its jobs; all controllers keep the newest counts that they know. */
export class TaskCountExchange {
  private round = 0;

  constructor(private readonly options: TaskCountExchangeOptions) {}

  /** Sends one round of counts, unless the leader has not read its records yet. */
  send(leader: ShardLeader): void {
    const isFull = this.round % FULL_COUNT_ROUNDS === 0;
    this.round++;
    if (!leader.recordsLoaded) return;
    const { peers } = this.options;
    const counts = isFull ? countAllTasks(leader.fleet) : countChangedTasks(leader.fleet);
    this.record(counts);
    for (let start = 0; start < counts.length; start += MAX_COUNTS_PER_FRAME) {
      peers.send({ kind: 'counts', jobs: counts.slice(start, start + MAX_COUNTS_PER_FRAME) });
    }
  }

  /** Records the counts that a leader has sent or made. */
  record(counts: CountsFrame['jobs']): void {
    for (const { job, done, running } of counts)
      this.options.jobs.recordTaskCounts(job, done, running);
  }
}
