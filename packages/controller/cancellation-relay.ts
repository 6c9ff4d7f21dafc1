import type { Frame } from '#peer';
import type { PartOwner } from './owner.js';
import type { ControllerServices } from './services.js';

type Services = Pick<ControllerServices, 'runtime' | 'cancellations'>;

export interface CancellationRelayOptions extends Services {
  /** Null while nothing is owned here. */
  owner: () => PartOwner | null;
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
    this.heard(job);
    this.options.send({ kind: 'abort', job });
  }

  /** A user has asked, here or at a peer. */
  heard(job: string): void {
    this.options.cancellations.noteRequested(job, this.options.runtime.clock.now());
    this.endTasks();
  }

  /** Ends the tasks of all jobs whose cancellation was asked for, if this controller owns. */
  endTasks(): void {
    const owner = this.options.owner();
    if (!owner?.ready) return;
    const now = this.options.runtime.clock.now();
    for (const job of this.options.cancellations.requestedJobs(now)) owner.abort(job, now);
  }

  /** What a peer is told on a new connection. */
  greeting(): Frame[] {
    const now = this.options.runtime.clock.now();
    const jobs = this.options.cancellations.requestedJobs(now);
    return jobs.map((job) => ({ kind: 'abort', job }));
  }
}
