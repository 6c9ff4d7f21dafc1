import {
  Clock,
  CloudClient,
  ListedMachine,
  MachineType,
  NoAnswer,
  pause,
  RELEASE_AT_ONCE,
  RENT_AT_ONCE,
  Runtime,
} from '#wire';
import { giveBack, Machine, Rental, startConsolidation } from '#core';
import { Budget } from '#store';
import type { Log } from './log.js';
import type { PartOwner } from './owner.js';

/** Multiples of a type's boot time. */
const BOOT_LATE = 4;
const REFUSED_FOR = 1 / 3;
/** Leases for which a machine may be silent before it is given back. */
const EXPIRED_LEASES = 2;
/** Failed tasks after which a machine counts as broken. */
const BROKEN_ERRORS = 3;
/** Report periods from one look at the machine types to the next, and from one list to the next. */
const CATALOG_PERIODS = 30;
const LIST_PERIODS = 2;
/** Report periods that a new owner listens before it plans, unless it is the first. */
const LISTEN_PERIODS = 4;
/** Multiple of the list's lag for which a release is remembered. */
const RELEASE_MEMORY = 20;
/** Calls for one rental whose outcome is unknown. */
const RENT_ATTEMPTS = 4;

/** Share of the allowed rate that is used; a former owner's last calls may still count. */
const RATE_SHARE = 0.85;

type MachinePage = Awaited<ReturnType<CloudClient['list']>>;

export interface CloudDutyOptions {
  runtime: Runtime;
  cloud: CloudClient;
  owner: PartOwner;
  /** This controller's name. */
  name: string;
  /** Requests a second that the cloud allows to all controllers together. */
  rps: number;
  /** How far the cloud's list of machines may be behind. */
  listLagS: number;
  reportS: number;
  leaseS: number;
  /** Told of the machine types whenever they were asked for. */
  onTypes: (types: MachineType[], signal: AbortSignal) => Promise<void>;
  /** Nobody else can own the part now, so what is rented is not rented twice. */
  mayRent: () => boolean;
  /** Besides, the state service serves us: what is stopped here can start elsewhere at once. */
  mayRelease: () => boolean;
  log: Log;
}

/**
 * The leader's dealings with the cloud: the list, rents and releases. The rents of one plan go out
 * together, as fast as the rate allows: each second that a rent waits for the answer to another is a
 * second that somebody's replica is not up.
 */
export class CloudDuty {
  private readonly releasedAt = new Map<string, number>();
  private readonly budget: Budget;
  private requests = 0;
  private listedAt = -Infinity;
  private typesAt = -Infinity;
  private planAt = -Infinity;
  private readonly clock: Clock;
  private readonly cloud: CloudClient;
  private readonly owner: PartOwner;
  private readonly log: Log;

  constructor(private readonly options: CloudDutyOptions) {
    this.clock = options.runtime.clock;
    ({ cloud: this.cloud, owner: this.owner, log: this.log } = options);
    this.budget = new Budget(this.clock, options.rps * RATE_SHARE);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.step(signal);
      } catch (err) {
        if (signal.aborted) return;
        this.log.debug({ err: String(err) }, 'cloud');
        await this.rest(this.options.reportS / 2, signal);
      }
      await this.rest(this.options.reportS / 4, signal);
    }
  }

  private async rest(seconds: number, signal: AbortSignal): Promise<void> {
    const spread = 0.75 + this.options.runtime.random() / 2;
    await pause(this.clock, seconds * 1000 * spread, signal);
  }

  private async step(signal: AbortSignal): Promise<void> {
    const { reportS, listLagS, mayRent, mayRelease, onTypes } = this.options;
    const now = this.clock.now();
    const fleet = this.owner.fleet;
    if (now - this.typesAt > CATALOG_PERIODS * reportS || fleet.machines.types.size === 0) {
      await this.budget.take(1, false, signal);
      const types = await this.cloud.catalog(signal);
      for (const type of types) fleet.machines.types.set(type.name, type);
      await onTypes(types, signal);
      this.typesAt = now;
    }
    const listEveryS = Math.max(LIST_PERIODS * reportS, listLagS / 2);
    if (now - this.listedAt > listEveryS) await this.list(signal);
    // A former owner that doesn't know of its successor yet takes every machine for silent, and those
    // that it was about to return for empty: it must neither rent nor release on that.
    if (!mayRent()) return;
    const useless = mayRelease() ? this.uselessMachines(now) : [];
    if (useless.length > 0) await this.release(useless, signal);
    if (!this.settled(now) || now - this.planAt < reportS) return;
    this.planAt = now;
    await this.carryOutPlan(now, signal);
  }

  /** After a take-over, first hear what is there. */
  private settled(now: number): boolean {
    const { owner, options, listedAt } = this;
    const listenS = owner.first ? 0 : LISTEN_PERIODS * options.reportS;
    return owner.ready && listedAt > -Infinity && now - owner.startedAt > listenS;
  }

  private async carryOutPlan(now: number, signal: AbortSignal): Promise<void> {
    const { rent, release, consolidation } = this.owner.planner.plan(now);
    if (consolidation !== null && this.options.mayRelease()) {
      startConsolidation(this.owner.fleet, consolidation, now);
      this.owner.nudge();
      const { machine, moves } = consolidation;
      this.log.info({ machine: machine.name, replicas: moves.length }, 'emptied');
    }
    if (release.length > 0) {
      for (const machine of release) giveBack(this.owner.fleet, machine, now);
      this.log.info({ machines: release.map((machine) => machine.name) }, 'surplus');
    }
    await Promise.all(rent.flatMap(portions).map((portion) => this.rent(portion, signal)));
  }

  private async list(signal: AbortSignal): Promise<void> {
    const now = this.clock.now();
    const fleet = this.owner.fleet;
    let after: string | null = null;
    for (;;) {
      await this.budget.take(1, false, signal);
      const page: MachinePage = await this.cloud.list(after, signal);
      for (const machine of page.machines) this.takeListed(machine, now);
      if (!page.more || page.machines.length === 0) break;
      after = page.machines.at(-1)!.name;
    }
    this.listedAt = now;
    const { listLagS, reportS } = this.options;
    const memoryS = RELEASE_MEMORY * Math.max(listLagS, reportS);
    for (const [name, releasedAt] of this.releasedAt) {
      if (now - releasedAt > memoryS) this.releasedAt.delete(name);
    }
    fleet.machines.updateTotals();
  }

  private takeListed(listed: ListedMachine, now: number): void {
    const fleet = this.owner.fleet;
    // The list lags behind what was released.
    if (this.releasedAt.has(listed.name)) return;
    const known = fleet.machines.get(listed.name);
    if (known) {
      if (listed.state === 'failed') known.failedInList = true;
      return;
    }
    const bootS = fleet.machines.types.get(listed.type)?.bootS ?? 0;
    // One that is listed as running has a boot time's worth of patience to report to us.
    const rentedAt = listed.state === 'booting' ? now - listed.ageS : now - bootS;
    const machine = fleet.machines.register(listed, 'booting', rentedAt);
    machine.failedInList = listed.state === 'failed';
  }

  /** Machines that cost money for nothing. */
  private uselessMachines(now: number): Machine[] {
    const { machines } = this.owner.fleet;
    const isUseless = (machine: Machine) => {
      const { state, draining, rentedAt, expiredAt } = machine;
      const bootS = machines.typeOf(machine)?.bootS ?? 0;
      const neverUp = state === 'booting' && now - rentedAt > BOOT_LATE * bootS;
      const longExpired =
        state === 'expired' && now - expiredAt > EXPIRED_LEASES * this.options.leaseS;
      const unwanted = draining || machine.taskErrors >= BROKEN_ERRORS;
      const emptied = unwanted && machine.tasks.size === 0;
      return machine.failedInList || neverUp || longExpired || emptied;
    };
    return [...machines.values()].filter(isUseless).slice(0, RELEASE_AT_ONCE);
  }

  private async release(machines: Machine[], signal: AbortSignal): Promise<void> {
    const names = machines.map((machine) => machine.name);
    for (const machine of machines) machine.draining = true;
    await this.budget.take(1, true, signal);
    // The wait for the budget may have been long, or the process may have stood still in it.
    if (!this.options.mayRelease()) return;
    await this.cloud.release(names, signal);
    const now = this.clock.now();
    for (const name of names) {
      this.owner.fleet.removeMachine(name, now);
      this.releasedAt.set(name, now);
    }
    this.log.info({ machines: names }, 'released');
    this.owner.nudge();
  }

  private async rent(rental: Rental, signal: AbortSignal): Promise<void> {
    // The term is in the name, so no other life of any controller uses the same.
    const request = `${this.options.name}-${this.owner.term.term}-${++this.requests}`;
    for (let attempt = 0; attempt < RENT_ATTEMPTS; attempt++) {
      await this.budget.take(1, true, signal);
      if (!this.options.mayRent()) return;
      try {
        const outcome = await this.cloud.rent(request, rental, signal);
        if (outcome === 'trouble') continue;
        this.rented(request, rental, outcome === 'no-capacity' ? [] : outcome.machines);
        return;
      } catch (err) {
        // Unknown outcome: the same name again gives the same answer and rents nothing more.
        if (!(err instanceof NoAnswer)) throw err;
      }
    }
  }

  private rented(request: string, rental: Rental, names: string[]): void {
    const { fleet, planner } = this.owner;
    const { type, zone, spot, count } = rental;
    const now = this.clock.now();
    if (names.length < count) {
      const bootS = fleet.machines.types.get(type)?.bootS ?? 0;
      planner.rentalRefused(rental, now + bootS * REFUSED_FOR);
    }
    for (const name of names)
      fleet.machines.register({ name, addr: '', type, zone, spot }, 'booting', now);
    this.log.info({ request, ...rental, got: names.length }, 'rent');
  }
}

/** Parts that one call each may rent. */
function portions(rental: Rental): Rental[] {
  const portions: Rental[] = [];
  for (let left = rental.count; left > 0; left -= RENT_AT_ONCE) {
    portions.push({ ...rental, count: Math.min(left, RENT_AT_ONCE) });
  }
  return portions;
}
