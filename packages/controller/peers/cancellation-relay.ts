import type { CancellationNotice, Frame } from '#peer';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { ControllerServices } from '../services.js';

type Services = Pick<ControllerServices, 'runtime' | 'cancellations'>;

export interface CancellationRelayOptions extends Services {
  /** Null while nothing is owned here. */
  leader: () => ShardLeader | null;
  /** Tells all peers. */
  send: (frame: Frame) => void;
}

/**
 * Brings users' requests for cancellation to whoever owns. The record comes by the watch, or not at all if
 * an outage begins in between; the tasks end in any case.
 */
export class CancellationRelay {
  constructor(private readonly options: CancellationRelayOptions) {}

  /** A user asks here. */
  request(job: string): void {
    this.options.cancellations.addRequested(job, this.now());
    this.endTasks();
    this.options.send({ kind: 'abort', job, ageMs: 0 });
  }

  /** A peer tells that a user has asked. */
  receive(notice: CancellationNotice): void {
    this.options.cancellations.addFromPeer(notice, this.now());
    this.endTasks();
  }

  /** Ends the tasks of all jobs whose cancellation was asked for, if this controller owns. */
  endTasks(): void {
    const leader = this.options.leader();
    if (!leader?.ready) return;
    for (const { job } of this.options.cancellations.requests(this.now())) leader.cancelJob(job);
  }

  /** What a peer is told on a new connection. */
  greeting(): Frame[] {
    const requests = this.options.cancellations.requests(this.now());
    return requests.map((request) => ({ kind: 'abort', ...request }));
  }

  private now(): number {
    return this.options.runtime.clock.now();
  }
}
