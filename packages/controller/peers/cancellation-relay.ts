/** Passes users' cancellation requests on to the leader and the peers before they are recorded. */
import type { CancellationNotice, Frame } from '#peer';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { ControllerServices } from '../services.js';

type Services = Pick<ControllerServices, 'runtime' | 'cancellations'>;

/** Dependencies of a `CancellationRelay`. */
export interface CancellationRelayOptions extends Services {
  /** The leader that runs in this process; null while this controller is a follower. */
  leader: () => ShardLeader | null;
  /** Sends a frame to all peers. */
  send: (frame: Frame) => void;
}

/**
 * Forwards users' cancellation requests to the leader, which then ends the tasks. The leader's watch of the
 * state service also delivers recorded cancellations, but not if an outage begins before the delivery.
 */
export class CancellationRelay {
  constructor(private readonly options: CancellationRelayOptions) {}

  /** Accepts a cancellation request that a user sent to this controller. */
  request(job: string): void {
    this.options.cancellations.addRequested(job, this.now());
    this.endTasks();
    this.options.send({ kind: 'cancel', job, ageMs: 0 });
  }

  /** Accepts a cancellation request that a user sent to a peer. */
  receive(notice: CancellationNotice): void {
    this.options.cancellations.addFromPeer(notice, this.now());
    this.endTasks();
  }

  /** Ends the tasks of all jobs whose cancellation was requested, if this controller leads. */
  endTasks(): void {
    const leader = this.options.leader();
    if (!leader?.recordsLoaded) return;
    for (const { job } of this.options.cancellations.requests(this.now())) {
      leader.cancelJob(job);
    }
  }

  /** Frames to send first on a new connection to a peer: all cancellation requests that are kept. */
  greeting(): Frame[] {
    const requests = this.options.cancellations.requests(this.now());
    return requests.map((request) => ({ kind: 'cancel', ...request }));
  }

  private now(): number {
    return this.options.runtime.clock.now();
  }
}
