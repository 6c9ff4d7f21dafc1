import type { Rental } from '#core';
import { type Clock, NoAnswer, RENT_AT_ONCE } from '#wire';
import type { CloudAccess } from './cloud-access.js';
import type { Log } from './log.js';
import type { ShardLeader } from './owner.js';

/** Share of a type's boot time for which a refused kind of machine is not asked for again. */
const REFUSED_FOR = 1 / 3;
/** Calls for one rental whose outcome is unknown. */
const RENT_ATTEMPTS = 4;

export interface RentalsOptions extends CloudAccess {
  clock: Clock;
  leader: ShardLeader;
  /** This controller's name. */
  name: string;
  /** Nobody else can own the part now, so what is rented is not rented twice. */
  mayRent: () => boolean;
  log: Log;
}

/** Rents machines in a term, under request names that no other life of any controller uses. */
export class Rentals {
  private requests = 0;

  constructor(private readonly options: RentalsOptions) {}

  /**
   * Rents what a plan asks for. The calls go out together, as fast as the rate allows: each second that
   * one waits for the answer to another is a second that somebody's replica is not up.
   */
  async rentAll(rentals: Rental[], signal: AbortSignal): Promise<void> {
    const calls = rentals.flatMap(portions).map((portion) => this.rent(portion, signal));
    await Promise.all(calls);
  }

  private async rent(rental: Rental, signal: AbortSignal): Promise<void> {
    const { cloud, budget, mayRent } = this.options;
    const request = this.nextRequest();
    for (let attempt = 0; attempt < RENT_ATTEMPTS; attempt++) {
      await budget.take(1, true, signal);
      if (!mayRent()) return;
      try {
        const outcome = await cloud.rent(request, rental, signal);
        if (outcome === 'trouble') continue;
        this.rented(request, rental, outcome === 'no-capacity' ? [] : outcome.machines);
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

  private rented(request: string, rental: Rental, names: string[]): void {
    const { clock, leader, log } = this.options;
    const { machines } = leader.fleet;
    const { type, zone, spot, count } = rental;
    const now = clock.now();
    if (names.length < count) {
      const bootS = machines.types.get(type)?.bootS ?? 0;
      leader.planner.rentalRefused(rental, now + bootS * REFUSED_FOR);
    }
    for (const name of names) {
      machines.register({ name, addr: '', type, zone, spot }, 'booting', now);
    }
    log.info({ request, ...rental, got: names.length }, 'rent');
  }
}

/** Parts that one call each may rent. */
function portions(rental: Rental): Rental[] {
  const parts: Rental[] = [];
  for (let left = rental.count; left > 0; left -= RENT_AT_ONCE) {
    parts.push({ ...rental, count: Math.min(left, RENT_AT_ONCE) });
  }
  return parts;
}
