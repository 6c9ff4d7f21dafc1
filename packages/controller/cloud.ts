import { setTimeout as sleep } from 'node:timers/promises';
import {
  CloudClient,
  ListedMachine,
  MachineType,
  NoAnswer,
  RELEASE_AT_ONCE,
  RENT_AT_ONCE,
} from '#wire';
import { Machine, Rental } from '#core';
import { Budget, steady } from '#store';
import type { Log } from './log.js';
import type { PartOwner } from './owner.js';

/** Multiples of a type's boot time. */
const BOOT_LATE = 4;
const REFUSED_FOR = 1 / 3;

/** Share of the allowed rate that is used; a former owner's last calls may still count. */
const RATE_SHARE = 0.85;

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

  constructor(
    private readonly cloud: CloudClient,
    private readonly owner: PartOwner,
    private readonly name: string,
    rps: number,
    private readonly listLagS: number,
    private readonly reportS: number,
    private readonly leaseS: number,
    private readonly onTypes: (types: MachineType[]) => Promise<void>,
    private readonly entitled: () => boolean,
    /** The state service answers, so that what is stopped here starts there at once. */
    private readonly calm: () => boolean,
    private readonly log: Log,
  ) {
    this.budget = new Budget(rps * RATE_SHARE);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.step(signal);
      } catch (err) {
        if (signal.aborted) return;
        this.log.debug({ err: String(err) }, 'cloud');
        await this.pause(this.reportS / 2, signal);
      }
      await this.pause(this.reportS / 4, signal);
    }
  }

  private async pause(seconds: number, signal: AbortSignal): Promise<void> {
    const ms = seconds * 1000 * (0.75 + Math.random() / 2);
    await sleep(ms, undefined, { signal }).catch(() => {});
  }

  private async step(signal: AbortSignal): Promise<void> {
    const now = steady();
    const book = this.owner.book;
    if (now - this.typesAt > 30 * this.reportS || book.machines.types.size === 0) {
      await this.budget.take(1, false, signal);
      const types = await this.cloud.catalog(signal);
      for (const t of types) book.machines.types.set(t.name, t);
      await this.onTypes(types);
      this.typesAt = now;
    }
    if (now - this.listedAt > Math.max(2 * this.reportS, this.listLagS / 2)) {
      await this.list(signal);
    }
    // An owner that nobody may listen to any more takes every machine for silent: it must not
    // release or rent on that.
    if (!this.entitled()) return;
    const doomed = this.doomed(now);
    if (doomed.length > 0) await this.release(doomed, signal);
    // After a take-over, first hear what is there.
    const hears = this.owner.first ? 0 : 4 * this.reportS;
    const settled = now - this.owner.startedAt > hears && this.listedAt > 0 && this.owner.ready;
    if (!settled || now - this.planAt < this.reportS) return;
    this.planAt = now;
    const { rent, release, empty } = this.owner.planner.plan(now);
    if (empty !== null && this.calm()) {
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
    const now = steady();
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
      if (now - at > 20 * Math.max(this.listLagS, this.reportS)) this.releasedAt.delete(name);
    }
    book.machines.updateTotals();
  }

  private listed(m: ListedMachine, now: number): void {
    const book = this.owner.book;
    if (this.releasedAt.has(m.name)) return;
    const known = book.machines.get(m.name);
    if (known) {
      if (m.state === 'failed') known.listedFailed = true;
      return;
    }
    const bootS = book.machines.types.get(m.type)?.bootS ?? 0;
    // One that is listed as running has a boot time's worth of patience to report to us.
    const bornAt = m.state === 'booting' ? now - m.ageS : now - bootS;
    const met = book.machines.register(m, 'booting', bornAt);
    met.listedFailed = m.state === 'failed';
  }

  /** Machines that cost money for nothing. */
  private doomed(now: number): Machine[] {
    const out: Machine[] = [];
    for (const m of this.owner.book.machines.values()) {
      const bootS = this.owner.book.machines.types.get(m.type)?.bootS ?? 0;
      const neverUp = m.state === 'booting' && now - m.bornAt > BOOT_LATE * bootS;
      const longDark = m.state === 'dark' && now - m.darkAt > 2 * this.leaseS;
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
    await this.cloud.release(names, signal);
    const now = steady();
    for (const name of names) {
      this.owner.book.removeMachine(name, now);
      this.releasedAt.set(name, now);
    }
    this.log.info({ machines: names }, 'released');
    this.owner.nudge();
  }

  private async rent(rental: Rental, signal: AbortSignal): Promise<void> {
    // The term is in the name, so no other life of any controller uses the same.
    const request = `${this.name}-${this.owner.term.term}-${++this.requests}`;
    for (let attempt = 0; attempt < 4; attempt++) {
      await this.budget.take(1, true, signal);
      try {
        const out = await this.cloud.rent(request, rental, signal);
        if (out === 'trouble') continue;
        const now = steady();
        const names = out === 'no-capacity' ? [] : out.machines;
        if (names.length < rental.count) {
          const bootS = this.owner.book.machines.types.get(rental.type)?.bootS ?? 0;
          this.owner.planner.noteRefused(rental, now + bootS * REFUSED_FOR);
        }
        for (const name of names) {
          const { type, zone, spot } = rental;
          this.owner.book.machines.register({ name, addr: '', type, zone, spot }, 'booting', now);
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
