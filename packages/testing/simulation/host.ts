/** The hosts of the simulated network. */
import type { SimulatedSocket } from './socket.js';

/** What runs on a host. */
export type HostRole = 'controller' | 'state' | 'cloud' | 'balancer' | 'users' | 'worker';

/** A machine on the network. */
export class SimulatedHost {
  powered = true;
  /** Connections that its process may have open; beyond it new ones fail. */
  socketLimit = Infinity;
  openSockets = 0;

  constructor(
    readonly name: string,
    readonly role: HostRole,
    /** Its only IP address. */
    readonly address: string,
    /** Null: belongs to no zone. */
    readonly zone: string | null,
  ) {}

  get hasFreeSocket(): boolean {
    return this.openSockets < this.socketLimit;
  }

  /** Counts a socket of the running process until it closes. */
  countSocket(socket: SimulatedSocket): void {
    this.openSockets++;
    socket.once('close', () => this.openSockets--);
  }
}
