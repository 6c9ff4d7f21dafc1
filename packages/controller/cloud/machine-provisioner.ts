/** Requests the machines of a capacity plan from the cloud. */
import type { ScaleOutRequest } from '#core';
import { type Clock, MAX_MACHINES_PER_REQUEST, NoAnswer } from '#wire';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { Log } from '../observability/log.js';
import type { CloudAccess } from './cloud-access.js';

/** Time before a kind of machine without capacity is requested again, as a share of the type's boot time. */
const NO_CAPACITY_BOOT_SHARE = 1 / 3;
/** Maximum calls for one request; a call is repeated if its outcome is unknown or the cloud could not serve it. */
const PROVISION_ATTEMPTS = 4;

/** Dependencies and settings of a `MachineProvisioner`. */
export interface MachineProvisionerOptions extends CloudAccess {
  clock: Clock;
  leader: Pick<ShardLeader, 'fleet' | 'planner' | 'term'>;
  /** This controller's name. */
  name: string;
  /** Whether no other controller can lead the shard now, so that nothing is provisioned twice. */
  mayScaleOut: () => boolean;
  log: Log;
}

/** Provisions machines in one term. No other incarnation of any controller uses the same request names. */
export class MachineProvisioner {
  private requestCount = 0;

  constructor(private readonly options: MachineProvisionerOptions) {}

  /**
   * Provisions the machines of a plan. The calls are sent concurrently, as fast as the rate allows: each second
   * that a call waits for the answer to another delays the start of some replica by a second. Rejects with the
   * first error of the cloud other than a missing answer.
   */
  async provisionAll(scaleOuts: ScaleOutRequest[], signal: AbortSignal): Promise<void> {
    const calls = scaleOuts
      .flatMap(splitByCall)
      .map((scaleOut) => this.provision(scaleOut, signal));
    await Promise.all(calls);
  }

  private async provision(scaleOut: ScaleOutRequest, signal: AbortSignal): Promise<void> {
    const { cloud, budget, mayScaleOut } = this.options;
    const request = this.nextRequest();
    for (let attempt = 0; attempt < PROVISION_ATTEMPTS; attempt++) {
      await budget.acquireFor('urgent', 1, signal);
      if (!mayScaleOut()) return;
      try {
        const outcome = await cloud.provision(request, scaleOut, signal);
        if (outcome === 'trouble') continue;
        this.register(request, scaleOut, outcome === 'no-capacity' ? [] : outcome.machines);
        return;
      } catch (err) {
        // The outcome is unknown. A repeated name gets the same answer and provisions no further machines.
        if (!(err instanceof NoAnswer)) throw err;
      }
    }
  }

  private nextRequest(): string {
    const { name, leader } = this.options;
    return `${name}-${leader.term.term}-${++this.requestCount}`;
  }

  private register(request: string, scaleOut: ScaleOutRequest, names: string[]): void {
    const { clock, leader, log } = this.options;
    const { machines } = leader.fleet;
    const { type, zone, spot, count } = scaleOut;
    const now = clock.now();
    if (names.length < count) {
      const bootS = machines.types.get(type)?.bootS ?? 0;
      leader.planner.scaleOutRefused(scaleOut, now + bootS * NO_CAPACITY_BOOT_SHARE);
    }
    for (const name of names) {
      machines.register({ name, addr: '', type, zone, spot }, 'booting', now);
    }
    log.info({ request, ...scaleOut, provisioned: names.length }, 'scale-out completed');
  }
}

/** Splits a request into requests of at most as many machines as one call may provision. */
function splitByCall(scaleOut: ScaleOutRequest): ScaleOutRequest[] {
  const requests: ScaleOutRequest[] = [];
  for (let left = scaleOut.count; left > 0; left -= MAX_MACHINES_PER_REQUEST) {
    requests.push({ ...scaleOut, count: Math.min(left, MAX_MACHINES_PER_REQUEST) });
  }
  return requests;
}
