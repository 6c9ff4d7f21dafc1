/** Exchanges the task counts of jobs, which every controller shows to users. */
import type { CountsFrame, PeerLink } from '#peer';
import type { ShardLeader } from '../leadership/shard-leader.js';
import { countAllTasks, countChangedTasks } from '../observability/task-counts.js';
import type { ControllerServices } from '../services.js';

/** Rounds per full round, which sends the counts of all open jobs; the others send changed counts only. */
const FULL_COUNT_ROUNDS = 10;
/** Maximum number of jobs in one frame. */
const MAX_COUNTS_PER_FRAME = 500;

/** Dependencies of a `TaskCountExchange`. */
export interface TaskCountExchangeOptions extends Pick<ControllerServices, 'jobs'> {
  peers: PeerLink;
}

/** Sends the leader's task counts to all controllers, and keeps the newest counts that arrive. */
export class TaskCountExchange {
  private round = 0;

  constructor(private readonly options: TaskCountExchangeOptions) {}

  /** Sends one round of counts; skips the round while the leader has not read its records yet. */
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

  /** Records the counts of a leader, in this process or at a peer. */
  record(counts: CountsFrame['jobs']): void {
    for (const { job, done, running } of counts)
      this.options.jobs.setTaskCounts(job, done, running);
  }
}
