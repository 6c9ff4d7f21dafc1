import { CborClient, type Runtime } from '#wire';
import type { ControllerAddress } from './node-choice.js';

/** Which reports have copies that arrive again, and when. */
export type LateReportFault =
  { share: number; delayS: [least: number, most: number] } | { share: number; forNextLeader: true };

/** Copies that one worker keeps for the next leader. */
const MAX_KEPT = 3;
const SEND_TIMEOUT_MS = 4000;

/** Late copies of the reports of all workers: the network's doing, so no worker sees their answers. */
export class LateReports {
  private fault: LateReportFault | null = null;

  begin(fault: LateReportFault): void {
    this.fault = fault;
  }

  end(): void {
    this.fault = null;
  }

  /** The fault that hits the next report, or null. */
  draw(random: () => number): LateReportFault | null {
    const { fault } = this;
    return fault && random() < fault.share ? fault : null;
  }
}

/** The copies of one worker's reports. */
export class ReportCopies {
  private kept: unknown[] = [];

  constructor(
    private readonly runtime: Runtime,
    private readonly faults: LateReports,
  ) {}

  /** A report went out; a copy of it may arrive again. */
  reportSent(body: unknown, node: ControllerAddress): void {
    const fault = this.faults.draw(() => this.runtime.random());
    if (fault === null) return;
    if ('forNextLeader' in fault) {
      this.kept = [...this.kept, body].slice(-MAX_KEPT);
      return;
    }
    const [least, most] = fault.delayS;
    const delayS = least + (most - least) * this.runtime.random();
    this.runtime.clock.setTimer(() => void this.deliver(body, node), delayS * 1000);
  }

  /** A controller with a new token has answered: what was kept arrives there. */
  leaderChanged(node: ControllerAddress): void {
    for (const body of this.kept.splice(0)) void this.deliver(body, node);
  }

  private async deliver(body: unknown, node: ControllerAddress): Promise<void> {
    const client = new CborClient(this.runtime, node.address, 1);
    const call = client.call('POST', '/hello', { timeoutMs: SEND_TIMEOUT_MS, body });
    await call.catch(() => {});
    client.close();
  }
}
