import type net from 'node:net';
import type { Incarnation } from './process.js';
import type { SimulatedSocket } from './socket.js';

export type HostRole = 'controller' | 'state' | 'cloud' | 'balancer' | 'users' | 'worker';

/** A machine on the network. */
export class SimulatedHost {
  powered = true;
  /** Connections that its process may have open; beyond it new ones fail. */
  socketLimit = Infinity;
  openSockets = 0;
  readonly listeners = new Map<number, Listener>();

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
  count(socket: SimulatedSocket): void {
    this.openSockets++;
    socket.once('close', () => this.openSockets--);
  }
}

/** A server at a port of a host. */
export interface Listener {
  server: net.Server;
  incarnation: Incarnation;
  open: number;
}
