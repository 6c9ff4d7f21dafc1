/** Hosts of the simulated network. */
import type { SimulatedSocket } from './socket.js';

/** Kind of process that runs on a host. */
export type HostRole = 'controller' | 'state' | 'cloud' | 'balancer' | 'users' | 'worker';

/** A host on the simulated network. */
export class SimulatedHost {
  powered = true;
  /** Limit on the open connections of the host's process; further ones fail. */
  socketLimit = Infinity;
  openSockets = 0;

  constructor(
    readonly name: string,
    readonly role: HostRole,
    /** The host's only IP address. */
    readonly address: string,
    /** Null if the host belongs to no zone. */
    readonly zone: string | null,
  ) {}

  get hasFreeSocket(): boolean {
    return this.openSockets < this.socketLimit;
  }

  /** Counts a socket as open until it closes. */
  countSocket(socket: SimulatedSocket): void {
    this.openSockets++;
    socket.once('close', () => this.openSockets--);
  }
}
