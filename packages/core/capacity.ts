import type { Job } from '#wire';
import type { FleetState } from './fleet-state.js';
import { requirementsKey } from './job-registry.js';
import type { JobState, Machine } from './model.js';
import { Emptying, machineToEmpty, Room } from './packing.js';
import { hasRoom, tasksThatFit, typeFits, usable, zoneCap } from './placement.js';
import { Amounts, withinLimit, TeamTerms } from './fairshare.js';

export interface CapacitySettings {
  /** Standard deviations of arrivals kept free for classes that must start sooner than a boot. */
  reserveSigmas: number;
  idleHoldS: number;
  /** A class's arrival rate is averaged over this time. */
  memoryS: number;
}

export interface ClassAim {
  class: string;
  kind: string;
  withinS: number;
}

export interface Rental {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

interface ClassStats {
  /** Jobs a second, decayed. */
  rate: number;
  /** Tasks a second that came and that ended, decayed alike. */
  tasksIn: number;
  tasksOut: number;
  at: number;
  /** When the last job came. */
  lastAt: number;
  meanSquareTasks: number;
  template: Job;
}

/** Room on a machine that stands, boots or would be rented, as the plan fills it. */
interface Slot extends Room {
  zone: string;
  spot: boolean;
  touched: boolean;
}

/** What a plan has packed so far. */
interface Packing {
  /** Room that stands or boots, and room to be rented. */
  slots: Slot[];
  fresh: Slot[];
  perZone: Map<string, number>;
  /**
   * Per shape of task, how many slots at the head of each list have no room for it. Room only shrinks
   * while a plan is made, so they need not be looked at again: else each task looked at every machine.
   */
  full: Map<string, { slots: number; fresh: number }>;
}

/** Boots by which the next ones are judged, and the multiple of their median that counts as late. */
const BOOTS_KEPT = 15;
const LATE = 1.25;

/** After so many mean gaps without a job, a class's rate counts as lower. */
const QUIET_GAPS = 3;

/** Once nothing has come for this share of the hold, empty machines are held for the other only. */
const QUIET_SHARE = 1 / 2;
const QUIET_HOLD = 1 / 3;

/** Sizes the fleet: packs what waits, and room for what may come sooner than a machine boots. */
export class CapacityPlanner {
  private readonly stats = new Map<string, ClassStats>();
  /** Kinds of machine that the cloud could not give, until when. */
  private readonly refused = new Map<string, number>();
  /** How long the last boots took, in multiples of their type's boot time. */
  private readonly boots: number[] = [];

  constructor(
    private readonly book: FleetState,
    private readonly settings: CapacitySettings,
    private readonly aims: ClassAim[],
    private readonly teams: Map<string, TeamTerms>,
  ) {}

  noteArrival(job: Job, now: number): void {
    const stats = this.statsOf(job, now);
    stats.lastAt = now;
    stats.rate += 1 / this.settings.memoryS;
    stats.tasksIn += job.tasks / this.settings.memoryS;
    stats.meanSquareTasks += (job.tasks * job.tasks - stats.meanSquareTasks) / 10;
    stats.template = job;
  }

  noteEnd(job: Job, now: number): void {
    this.statsOf(job, now).tasksOut += job.tasks / this.settings.memoryS;
  }

  /** Nothing is known of when work ended before: as much is taken to have ended as came. */
  assumeSteady(now: number): void {
    for (const stats of this.stats.values()) {
      this.decay(stats, now);
      stats.tasksOut = stats.tasksIn;
    }
  }

  private statsOf(job: Job, now: number): ClassStats {
    let stats = this.stats.get(job.class);
    if (!stats) {
      const meanSquareTasks = job.tasks * job.tasks;
      stats = {
        rate: 0,
        tasksIn: 0,
        tasksOut: 0,
        at: now,
        lastAt: now,
        meanSquareTasks,
        template: job,
      };
      this.stats.set(job.class, stats);
    }
    this.decay(stats, now);
    return stats;
  }

  private decay(stats: ClassStats, now: number): void {
    const keep = Math.exp(-(now - stats.at) / this.settings.memoryS);
    stats.rate *= keep;
    stats.tasksIn *= keep;
    stats.tasksOut *= keep;
    stats.at = now;
  }

  /** A rented machine reported for the first time. */
  noteUp(machine: Machine, now: number): void {
    const bootS = this.book.machines.types.get(machine.type)?.bootS ?? 0;
    if (bootS <= 0) return;
    this.boots.push((now - machine.bornAt) / bootS);
    if (this.boots.length > BOOTS_KEPT) this.boots.shift();
  }

  /** Multiple of its type's boot time from which a machine that boots is not counted on. */
  private lateFrom(): number {
    const sorted = [...this.boots].sort((a, b) => a - b);
    return LATE * Math.max(1, sorted[Math.floor(sorted.length / 2)] ?? 1);
  }

  noteRefused(rental: Rental, until: number): void {
    this.refused.set(key(rental), until);
  }

  /** Tasks of a class to keep room for. */
  private reserveTasks(stats: ClassStats, bootS: number, now: number): number {
    const job = stats.template;
    const aim = this.aims.find((a) => a.class === job.class);
    if (!aim) return 0;
    this.decay(stats, now);
    const aheadS = bootS * 1.2;
    // Hardly ever does nothing come for three times the mean gap: then fewer come than before.
    const most = QUIET_GAPS / Math.max(now - stats.lastAt, 1e-9);
    const jobs = Math.min(stats.rate, most) * aheadS;
    if (jobs < 0.05) return 0;
    const urgent = aim.kind === 'wait' && aim.withinS < bootS;
    const sigmas = this.settings.reserveSigmas * (urgent ? 1 : 0.3);
    const swing = sigmas * Math.sqrt(jobs * stats.meanSquareTasks);
    // Replicas stay until their users end them: while fewer end than come, more are needed.
    const grows = urgent && job.kind === 'service';
    const growth = grows ? Math.max(0, (stats.tasksIn - stats.tasksOut) * aheadS) : 0;
    return Math.ceil(growth + swing);
  }

  plan(now: number): { rent: Rental[]; release: Machine[]; empty: Emptying | null } {
    const slots = this.slots(now);
    const fresh: Slot[] = [];
    const perZone = new Map<string, number>();
    for (const s of slots) perZone.set(s.zone, (perZone.get(s.zone) ?? 0) + 1);
    const packing: Packing = { slots, fresh, perZone, full: new Map() };
    const use = new Map<string, Amounts>();
    const waiting = [...this.book.jobs.waiting].sort(
      (a, b) => a.job.rank - b.job.rank || big(b.job) - big(a.job) || a.acceptedAt - b.acceptedAt,
    );
    for (const state of waiting) this.packJob(state, packing, use, now);
    for (const stats of this.stats.values()) {
      const types = [...this.book.machines.types.values()].filter((t) =>
        typeFits(stats.template, t),
      );
      if (types.length === 0) continue;
      const bootS = Math.min(...types.map((t) => t.bootS));
      const need = this.reserveTasks(stats, bootS, now);
      for (let i = 0; i < need; i++) {
        if (!this.packTask(stats.template, null, packing, null, now)) break;
      }
    }
    // Replicas are moved only while nothing lacks room.
    const empty = fresh.length === 0 ? machineToEmpty(this.book, slots, now) : null;
    return { rent: rentals(fresh), release: this.surplus(slots, now), empty };
  }

  private slots(now: number): Slot[] {
    const out: Slot[] = [];
    const lateFrom = this.lateFrom();
    for (const machine of this.book.machines.values()) {
      const type = this.book.machines.types.get(machine.type);
      if (!type || machine.state === 'dark' || machine.draining || machine.listedFailed) continue;
      if (machine.state === 'up' && !usable(this.book, { ...machine, avoidUntil: 0 }, now))
        continue;
      // One that should be up is not counted on: it may come very late or never.
      if (machine.state === 'booting' && now - machine.bornAt > lateFrom * type.bootS) continue;
      out.push({
        machine,
        type,
        zone: machine.zone,
        spot: machine.spot,
        // What a gang waits for will be empty when it starts.
        used: machine.reservedFor === null ? { ...machine.used } : { cpus: 0, gpus: 0, memory: 0 },
        touched: machine.tasks.size > 0,
        reservedFor: machine.reservedFor,
      });
    }
    // Fuller machines first, so that the emptiest stay untouched and can go; then the cheaper.
    const fill = (s: Slot) =>
      Math.max(s.used.cpus / s.type.cpus, s.type.gpus > 0 ? s.used.gpus / s.type.gpus : 0);
    return out.sort(
      (a, b) =>
        fill(b) - fill(a) ||
        a.type.price - b.type.price ||
        (a.machine!.name < b.machine!.name ? -1 : 1),
    );
  }

  private packJob(state: JobState, packing: Packing, use: Map<string, Amounts>, now: number): void {
    const job = state.job;
    const terms = this.teams.get(job.team);
    if (!terms) return;
    const used = use.get(job.team) ?? { ...this.book.usage.ofTeam(job.team) };
    use.set(job.team, used);
    const zones = new Map<string, number>();
    let zone: string | null = job.zone;
    const reserved = packing.slots.find((s) => s.reservedFor === job.id);
    if (job.oneZone && reserved) zone = reserved.zone;
    const count = Math.min(this.book.jobs.waitingCount(state), 2000);
    for (let i = 0; i < count; i++) {
      if (!withinLimit(terms, used, job)) return;
      const slot = this.packTask({ ...job, zone }, state, packing, zones, now);
      if (!slot) return;
      if (job.oneZone && zone === null) zone = slot.zone;
      zones.set(slot.zone, (zones.get(slot.zone) ?? 0) + 1);
      used.cpus += job.cpus;
      used.gpus += job.gpus;
    }
  }

  private packTask(
    job: Job,
    state: JobState | null,
    packing: Packing,
    zones: Map<string, number> | null,
    now: number,
  ): Slot | null {
    const shape = requirementsKey(job);
    let full = packing.full.get(shape);
    if (!full) packing.full.set(shape, (full = { slots: 0, fresh: 0 }));
    for (const list of ['slots', 'fresh'] as const) {
      const from = packing[list];
      // What is reserved for a gang has room, though for that gang only.
      while (full[list] < from.length && !holds(from[full[list]], job)) full[list]++;
      for (let i = full[list]; i < from.length; i++) {
        const slot = from[i];
        if (!holds(slot, job)) continue;
        if (slot.reservedFor !== null && slot.reservedFor !== state?.job.id) continue;
        if (zones && (zones.get(slot.zone) ?? 0) >= zoneCap(job)) continue;
        return take(slot, job);
      }
    }
    const slot = this.newSlot(job, zones, packing.perZone, now);
    if (!slot) return null;
    packing.fresh.push(slot);
    packing.perZone.set(slot.zone, (packing.perZone.get(slot.zone) ?? 0) + 1);
    return take(slot, job);
  }

  /** The cheapest machine for the job's tasks that the cloud has not just refused. */
  private newSlot(
    job: Job,
    zones: Map<string, number> | null,
    perZone: Map<string, number>,
    now: number,
  ): Slot | null {
    let best: { slot: Slot; cost: number } | null = null;
    for (const type of this.book.machines.types.values()) {
      if (!typeFits(job, type)) continue;
      const empty = { used: { cpus: 0, gpus: 0, memory: 0 } };
      const holds = Math.max(1, Math.min(1000, tasksThatFit(job, empty, type)));
      for (const zone of type.zones) {
        if (job.zone !== null && zone !== job.zone) continue;
        if (zones && (zones.get(zone) ?? 0) >= zoneCap(job)) continue;
        for (const spot of job.spot ? [true, false] : [false]) {
          if ((this.refused.get(`${type.name} ${zone} ${spot}`) ?? 0) > now) continue;
          const price = (spot ? type.spotPrice : type.price) / holds;
          const cost = price * (1 + (perZone.get(zone) ?? 0) / 1000);
          if (best !== null && cost >= best.cost) continue;
          const used = { cpus: 0, gpus: 0, memory: 0 };
          best = {
            cost,
            slot: { machine: null, type, zone, spot, used, touched: false, reservedFor: null },
          };
        }
      }
    }
    return best?.slot ?? null;
  }

  /** Empty machines that neither waiting work nor the reserve needs, after a while. */
  private surplus(slots: Slot[], now: number): Machine[] {
    const { idleHoldS } = this.settings;
    const lastAt = Math.max(...[...this.stats.values()].map((s) => s.lastAt));
    const held = now - lastAt > idleHoldS * QUIET_SHARE ? idleHoldS * QUIET_HOLD : idleHoldS;
    const out: Machine[] = [];
    for (const slot of slots) {
      const m = slot.machine;
      if (!m || slot.touched || m.tasks.size > 0 || m.reservedFor !== null) continue;
      if (m.state === 'booting' || now - m.idleSince < held) continue;
      out.push(m);
    }
    return out;
  }
}

function holds(slot: Slot, job: Job): boolean {
  if (!hasRoom(job, slot, slot.type) || (slot.spot && !job.spot)) return false;
  return (job.zone === null || slot.zone === job.zone) && typeFits(job, slot.type);
}

function take(slot: Slot, job: Job): Slot {
  slot.used.cpus += job.cpus;
  slot.used.gpus += job.gpus;
  slot.used.memory += job.memory;
  slot.touched = true;
  return slot;
}

/** Whole-machine work is packed before what fits into gaps. */
function big(job: Job): number {
  return job.gpus * 1000 + job.cpus;
}

function key(r: Rental): string {
  return `${r.type} ${r.zone} ${r.spot}`;
}

function rentals(fresh: Slot[]): Rental[] {
  const out = new Map<string, Rental>();
  for (const s of fresh) {
    const r: Rental = { type: s.type.name, zone: s.zone, spot: s.spot, count: 0 };
    const known = out.get(key(r)) ?? r;
    known.count++;
    out.set(key(r), known);
  }
  return [...out.values()];
}
