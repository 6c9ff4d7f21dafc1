/**
 * Service received, decayed by half-life: an integral of a rate that changes only at known moments,
 * so its value is exact at any time without periodic sampling.
 */
export class ServiceCounter {
  private value = 0;
  private rate = 0;
  private at: number;

  constructor(
    private readonly halfLifeS: number,
    now: number,
  ) {
    this.at = now;
  }

  /** Fleet-share seconds received up to `now`, old ones counting less. */
  read(now: number): number {
    const dt = Math.max(0, now - this.at);
    const keep = Math.pow(2, -dt / this.halfLifeS);
    return this.value * keep + this.rate * (this.halfLifeS / Math.LN2) * (1 - keep);
  }

  /** Books `share` more (or, negative, less) of the fleet from now on. */
  changeRate(share: number, now: number): void {
    this.value = this.read(now);
    this.at = Math.max(this.at, now);
    this.rate = Math.max(0, this.rate + share);
  }

  /** Sets what was received before this counter's time. */
  restore(value: number, now: number): void {
    this.value = value;
    this.at = now;
  }
}

export interface TeamTerms {
  cpus: number;
  gpus: number;
  cpusMax: number;
  gpusMax: number;
}

export interface Amounts {
  cpus: number;
  gpus: number;
  memory: number;
}

export const ZERO_AMOUNTS: Readonly<Amounts> = { cpus: 0, gpus: 0, memory: 0 };

/** Adds (or, with -1, takes away) amounts in place. */
export function addAmounts(sum: Amounts, more: Amounts, sign: 1 | -1): void {
  sum.cpus += sign * more.cpus;
  sum.gpus += sign * more.gpus;
  sum.memory += sign * more.memory;
}

/** The largest share of the fleet's totals that the amounts take. */
export function dominantShare(a: Amounts, total: Amounts): number {
  return Math.max(
    total.cpus > 0 ? a.cpus / total.cpus : 0,
    total.gpus > 0 ? a.gpus / total.gpus : 0,
    total.memory > 0 ? a.memory / total.memory : 0,
  );
}

/** Guaranteed share of the fleet, never less than the floor weight. */
export function teamWeight(team: TeamTerms, total: Amounts, floorWeight: number): number {
  return Math.max(
    floorWeight,
    total.cpus > 0 ? team.cpus / total.cpus : 0,
    total.gpus > 0 ? team.gpus / total.gpus : 0,
  );
}

export function withinLimit(team: TeamTerms, used: Amounts, more: Amounts): boolean {
  const slack = 1e-9;
  return (
    (team.cpusMax === 0 || used.cpus + more.cpus <= team.cpusMax + slack) &&
    (team.gpusMax === 0 || used.gpus + more.gpus <= team.gpusMax + slack)
  );
}
