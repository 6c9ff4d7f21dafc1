import type { ScaleOutRequest } from '#core';
import { type Clock, NoAnswer, MACHINES_PER_REQUEST } from '#wire';
import type { CloudAccess } from './cloud-access.js';
import type { Log } from '../observability/log.js';
import type { ShardLeader } from '../leadership/shard-leader.js';

/** Share of a type's boot time for which a refused kind of machine is not asked for again. */
const REFUSED_FOR = 1 / 3;
/** Calls for one rental whose outcome is unknown. */
const PROVISION_ATTEMPTS = 4;

export interface MachineProvisionerOptions extends CloudAccess {
  clock: Clock;
  leader: ShardLeader;
  /** This controller's name. */
  name: string;
  /** Nobody else can own the part now, so what is rented is not rented twice. */
  mayScaleOut: () => boolean;
  log: Log;
}

/** Rents machines in a term, under request names that no other life of any controller uses. */
export class MachineProvisioner {
  private requests = 0;

  constructor(private readonly options: MachineProvisionerOptions) {}

  /**
   * Rents what a plan asks for. The calls go out together, as fast as the rate allows: each second that
   * one waits for the answer to another is a second that somebody's replica is not up.
   */
  async provisionAll(scaleOuts: ScaleOutRequest[], signal: AbortSignal): Promise<void> {
    const calls = scaleOuts.flatMap(portions).map((portion) => this.provision(portion, signal));
    await Promise.all(calls);
  }

  private async provision(scaleOut: ScaleOutRequest, signal: AbortSignal): Promise<void> {
    const { cloud, budget, mayScaleOut } = this.options;
    const request = this.nextRequest();
    for (let attempt = 0; attempt < PROVISION_ATTEMPTS; attempt++) {
      await budget.acquire(1, true, signal);
      if (!mayScaleOut()) return;
      try {
        const outcome = await cloud.provision(request, scaleOut, signal);
        if (outcome === 'trouble') continue;
        this.register(request, scaleOut, outcome === 'no-capacity' ? [] : outcome.machines);
        return;
      } catch (err) {
        // Unknown outcome: the same name again gives the same answer and rents nothing more.
        if (!(err instanceof NoAnswer)) throw err;
      }
    }
  }

  private nextRequest(): string {
    const { name, leader } = this.options;
    return `${name}-${leader.term.term}-${++this.requests}`;
  }

  private register(request: string, scaleOut: ScaleOutRequest, names: string[]): void {
    const { clock, leader, log } = this.options;
    const { machines } = leader.fleet;
    const { type, zone, spot, count } = scaleOut;
    const now = clock.now();
    if (names.length < count) {
      const bootS = machines.types.get(type)?.bootS ?? 0;
      leader.planner.scaleOutRefused(scaleOut, now + bootS * REFUSED_FOR);
    }
    for (const name of names) {
      machines.register({ name, addr: '', type, zone, spot }, 'booting', now);
    }
    log.info({ request, ...scaleOut, got: names.length }, 'rent');
  }
}

/** Parts that one call each may rent. */
function portions(scaleOut: ScaleOutRequest): ScaleOutRequest[] {
  const parts: ScaleOutRequest[] = [];
  for (let left = scaleOut.count; left > 0; left -= MACHINES_PER_REQUEST) {
    parts.push({ ...scaleOut, count: Math.min(left, MACHINES_PER_REQUEST) });
  }
  return parts;
}
