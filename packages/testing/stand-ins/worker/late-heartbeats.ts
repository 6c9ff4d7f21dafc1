/** A fault in which heartbeats are delivered a second time, late. */
import { CborClient, type Runtime } from '#wire';
import { uniform, type Span } from '../distributions.js';
import type { ControllerAddress } from './controller-selector.js';

/** Share of heartbeats that are delivered again, and when: after a delay, or to the next leader. */
export type LateHeartbeatFault =
  { share: number; delayS: Span } | { share: number; forNextLeader: true };

/** Number of heartbeats of one machine that are kept for the next leader; older ones are dropped. */
const MAX_KEPT_PER_MACHINE = 3;
const SEND_TIMEOUT_MS = 4000;

/**
 * Delivers late copies of the workers' heartbeats, as a network might. A copy arrives even if its machine
 * is gone by then, and the answer to a copy is dropped.
 */
export class LateHeartbeats {
  private fault: LateHeartbeatFault | null = null;
  private leader: string | null = null;
  private readonly keptBodies = new Map<string, unknown[]>();

  /** The runtime must belong to a host that outlives all machines. */
  constructor(private readonly runtime: Runtime) {}

  begin(fault: LateHeartbeatFault): void {
    this.fault = fault;
  }

  /** Ends the fault. Copies that are delayed or kept are still delivered. */
  end(): void {
    this.fault = null;
  }

  /** Called when a machine sends a heartbeat; schedules or keeps a copy if the fault affects it. */
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

  /** Called when a worker has accepted an answer of the node. Sends the kept copies if the leader is new. */
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
    // The worker never sees the answer to a copy, so a missing answer is ignored, too.
    await call.catch(() => undefined);
    client.close();
  }
}
