/** The fault that heartbeats are delivered a second time, late. */
import { CborClient, type Runtime } from '#wire';
import { uniform, type Span } from '../distributions.js';
import type { ControllerAddress } from './node-choice.js';

/** Which heartbeats have copies that arrive again, and when. */
export type LateHeartbeatFault =
  { share: number; delayS: Span } | { share: number; forNextLeader: true };

/** Copies that are kept of one machine's heartbeats for the next leader. */
const MAX_KEPT_PER_MACHINE = 3;
const SEND_TIMEOUT_MS = 4000;

/**
 * Late copies of the workers' heartbeats. The network delivers them: they arrive also if their machine
 * is gone by then, and nobody sees the answers to them.
 */
export class LateHeartbeats {
  private fault: LateHeartbeatFault | null = null;
  private leader: string | null = null;
  private readonly keptBodies = new Map<string, unknown[]>();

  /** The runtime is that of a host that outlives all machines. */
  constructor(private readonly runtime: Runtime) {}

  begin(fault: LateHeartbeatFault): void {
    this.fault = fault;
  }

  /** Copies that are on their way or kept still arrive. */
  end(): void {
    this.fault = null;
  }

  /** A machine's heartbeat went out to that node; a copy of it may arrive again. */
  heartbeatSent(machine: string, body: unknown, node: ControllerAddress): void {
    const { fault } = this;
    if (fault === null || this.runtime.random() >= fault.share) return;
    if ('forNextLeader' in fault) {
      const kept = this.keptBodies.get(machine) ?? [];
      this.keptBodies.set(machine, [...kept, body].slice(-MAX_KEPT_PER_MACHINE));
      return;
    }
    const delayS = uniform(() => this.runtime.random(), fault.delayS);
    this.runtime.clock.setTimer(() => void this.deliver(body, node), delayS * 1000);
  }

  /** A worker obeys that node; if it has just become leader, what was kept arrives there. */
  answerAccepted(node: ControllerAddress): void {
    if (node.name === this.leader) return;
    this.leader = node.name;
    const bodies = [...this.keptBodies.values()].flat();
    this.keptBodies.clear();
    for (const body of bodies) void this.deliver(body, node);
  }

  private async deliver(body: unknown, node: ControllerAddress): Promise<void> {
    const client = new CborClient(this.runtime, node.address, 1);
    const call = client.call('POST', '/hello', { timeoutMs: SEND_TIMEOUT_MS, body });
    // The answer to a copy reaches nobody, so neither does the failure to get one.
    await call.catch(() => undefined);
    client.close();
  }
}
