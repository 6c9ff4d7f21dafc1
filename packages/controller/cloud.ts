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
import { Machine, Rental } from '#core';
import { Budget } from '#store';
import type { Log } from './log.js';
import type { PartOwner } from './owner.js';

/** Multiples of a type's boot time. */
const BOOT_LATE = 4;
const REFUSED_FOR = 1 / 3;

/** Share of the allowed rate that is used; a former owner's last calls may still count. */
const RATE_SHARE = 0.85;

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
    const book = this.owner.book;
    if (now - this.typesAt > 30 * reportS || book.types.size === 0) {
      await this.budget.take(1, false, signal);
      const types = await this.cloud.catalog(signal);
      for (const t of types) book.types.set(t.name, t);
      await onTypes(types, signal);
      this.typesAt = now;
    }
    if (now - this.listedAt > Math.max(2 * reportS, listLagS / 2)) {
      await this.list(signal);
    }
    // A former owner that doesn't know of its successor yet takes every machine for silent, and those
    // that it was about to return for empty: it must neither rent nor release on that.
    if (!mayRent()) return;
    const doomed = mayRelease() ? this.doomed(now) : [];
    if (doomed.length > 0) await this.release(doomed, signal);
    // After a take-over, first hear what is there.
    const hears = this.owner.first ? 0 : 4 * reportS;
    const settled =
      now - this.owner.startedAt > hears && this.listedAt > -Infinity && this.owner.ready;
    if (!settled || now - this.planAt < reportS) return;
    this.planAt = now;
    const { rent, release, empty } = this.owner.planner.plan(now);
    if (empty !== null && mayRelease()) {
      this.owner.scheduler.empty(empty, now);
      this.owner.nudge();
      const { machine, moves } = empty;
      this.log.info({ machine: machine.name, replicas: moves.length }, 'emptied');
    }
    if (release.length > 0) {
      for (const m of release) m.draining = true;
      this.log.info({ machines: release.map((m) => m.name) }, 'surplus');
    }
    await Promise.all(rent.flatMap(portions).map((r) => this.rent(r, signal)));
  }

  private async list(signal: AbortSignal): Promise<void> {
    const now = this.clock.now();
    const book = this.owner.book;
    let after: string | null = null;
    for (;;) {
      await this.budget.take(1, false, signal);
      const page: { machines: ListedMachine[]; more: boolean } = await this.cloud.list(
        after,
        signal,
      );
      for (const m of page.machines) this.listed(m, now);
      if (!page.more || page.machines.length === 0) break;
      after = page.machines[page.machines.length - 1].name;
    }
    this.listedAt = now;
    for (const [name, at] of this.releasedAt) {
      if (now - at > 20 * Math.max(this.options.listLagS, this.options.reportS))
        this.releasedAt.delete(name);
    }
    book.recomputeFleet();
  }

  private listed(m: ListedMachine, now: number): void {
    const book = this.owner.book;
    if (this.releasedAt.has(m.name)) return;
    const known = book.machines.get(m.name);
    if (known) {
      if (m.state === 'failed') known.listedFailed = true;
      return;
    }
    const bootS = book.types.get(m.type)?.bootS ?? 0;
    // One that is listed as running has a boot time's worth of patience to report to us.
    const bornAt = m.state === 'booting' ? now - m.ageS : now - bootS;
    const met = book.meet(m, 'booting', bornAt);
    met.listedFailed = m.state === 'failed';
  }

  /** Machines that cost money for nothing. */
  private doomed(now: number): Machine[] {
    const out: Machine[] = [];
    for (const m of this.owner.book.machines.values()) {
      const bootS = this.owner.book.types.get(m.type)?.bootS ?? 0;
      const neverUp = m.state === 'booting' && now - m.bornAt > BOOT_LATE * bootS;
      const longDark = m.state === 'dark' && now - m.darkAt > 2 * this.options.leaseS;
      const drained = m.draining && m.tasks.size === 0;
      const broken = m.errors >= 3 && m.tasks.size === 0;
      if (m.listedFailed || neverUp || longDark || drained || broken) out.push(m);
    }
    return out.slice(0, RELEASE_AT_ONCE);
  }

  private async release(machines: Machine[], signal: AbortSignal): Promise<void> {
    const names = machines.map((m) => m.name);
    for (const m of machines) m.draining = true;
    await this.budget.take(1, true, signal);
    // The wait for the budget may have been long, or the process may have stood still in it.
    if (!this.options.mayRelease()) return;
    await this.cloud.release(names, signal);
    const now = this.clock.now();
    for (const name of names) {
      this.owner.book.released(name, now);
      this.releasedAt.set(name, now);
    }
    this.log.info({ machines: names }, 'released');
    this.owner.nudge();
  }

  private async rent(rental: Rental, signal: AbortSignal): Promise<void> {
    // The term is in the name, so no other life of any controller uses the same.
    const request = `${this.options.name}-${this.owner.term.term}-${++this.requests}`;
    for (let attempt = 0; attempt < 4; attempt++) {
      await this.budget.take(1, true, signal);
      if (!this.options.mayRent()) return;
      try {
        const out = await this.cloud.rent(request, rental, signal);
        if (out === 'trouble') continue;
        const now = this.clock.now();
        const names = out === 'no-capacity' ? [] : out.machines;
        if (names.length < rental.count) {
          const bootS = this.owner.book.types.get(rental.type)?.bootS ?? 0;
          this.owner.planner.noteRefused(rental, now + bootS * REFUSED_FOR);
        }
        for (const name of names) {
          const { type, zone, spot } = rental;
          this.owner.book.meet({ name, addr: '', type, zone, spot }, 'booting', now);
        }
        this.log.info({ request, ...rental, got: names.length }, 'rent');
        return;
      } catch (err) {
        // Unknown outcome: the same name again gives the same answer and rents nothing more.
        if (!(err instanceof NoAnswer)) throw err;
      }
    }
  }
}

/** What one call may rent. */
function portions(rental: Rental): Rental[] {
  const out: Rental[] = [];
  for (let left = rental.count; left > 0; left -= RENT_AT_ONCE) {
    out.push({ ...rental, count: Math.min(left, RENT_AT_ONCE) });
  }
  return out;
}
