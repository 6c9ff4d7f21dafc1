import type { Job, MachineType } from '#wire';
import type { FleetState } from './fleet-state.js';
import { teamWeight, TeamTerms, withinLimit, ZERO_AMOUNTS } from './fairshare.js';
import { assignmentsOf, JobState, Machine } from './model.js';
import type { Emptying } from './packing.js';
import {
  chooseGang,
  choosePlace,
  hasRoom,
  heldFromUs,
  Places,
  SETTLED_S,
  tasksThatFit,
  typeFits,
  zoneAllowed,
  zoneCounts,
} from './placement.js';

export interface ScheduleSettings {
  floorWeight: number;
  /** A gang may be stopped at its lease end below this ratio of indexes. */
  stopThreshold: number;
  gangLeaseS: number;
  /** Waiting time after which work of higher rank may stop other work. */
  preemptAfterS: number;
  /** Most decisions taken in one round. */
  decisionsPerRound: number;
}

export interface Team {
  name: string;
  terms: TeamTerms;
}

const EMPTY = { used: ZERO_AMOUNTS };

/** A machine that becomes empty by itself, and in how many seconds. */
interface Soon {
  machine: Machine;
  type: MachineType;
  wait: number;
}

export class Scheduler {
  constructor(
    private readonly book: FleetState,
    private readonly teams: Map<string, TeamTerms>,
    private readonly settings: ScheduleSettings,
  ) {}

  /** Decayed service over guarantee; the lowest is served first. */
  index(team: string, now: number): number {
    const terms = this.teams.get(team) ?? { cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0 };
    const weight = teamWeight(terms, this.book.machines.totals, this.settings.floorWeight);
    return this.book.usage.service(team, now).read(now) / weight;
  }

  /** One round of decisions. Returns how many tasks were given a place. */
  round(now: number): number {
    const stuck = new Set<string>();
    const places = new Places(this.book, now);
    const coming = this.roomComing(now);
    let decided = 0;
    // Work that others would have to be stopped for goes first, so that nothing is started only to
    // be stopped again; among equals the design's order decides.
    for (const tier of this.tiers(now)) {
      const queues = this.queues(tier, now);
      while (decided < this.settings.decisionsPerRound && queues.length > 0) {
        // Service books with each placement, so the order is looked at anew each time.
        if (queues.length > 1) {
          queues.sort((a, b) => this.index(a.team, now) - this.index(b.team, now));
        }
        const queue = queues[0];
        const job = queue.jobs[0];
        const placed = this.serve(job, stuck, places, coming, now);
        decided += placed;
        if (placed === 0 || this.book.jobs.waitingCount(job) === 0) queue.jobs.shift();
        if (queue.jobs.length === 0) queues.shift();
      }
    }
    this.preempt(now);
    return decided;
  }

  /** Waiting jobs by precedence: work within a guarantee before borrowers, then by rank. */
  private tiers(now: number): JobState[][] {
    const tiers: JobState[][] = [];
    for (const job of this.book.jobs.waiting) {
      if (job.notBefore > now) continue;
      const tier = (this.owed(job) ? 0 : 4) + job.job.rank;
      (tiers[tier] ??= []).push(job);
    }
    return tiers.filter((t) => t !== undefined);
  }

  private queues(waiting: JobState[], now: number): { team: string; jobs: JobState[] }[] {
    const byTeam = new Map<string, JobState[]>();
    for (const job of waiting) {
      const list = byTeam.get(job.job.team);
      if (list) list.push(job);
      else byTeam.set(job.job.team, [job]);
    }
    const out = [];
    for (const [team, jobs] of byTeam) {
      const service = new Map(jobs.map((j) => [j, j.service.read(now)]));
      jobs.sort((a, b) => service.get(a)! - service.get(b)! || a.acceptedAt - b.acceptedAt);
      out.push({ team, jobs });
    }
    return out;
  }

  /** Gives places to the job's waiting tasks while they fit; returns how many. */
  private serve(
    state: JobState,
    stuck: Set<string>,
    places: Places,
    coming: Map<JobState, number>,
    now: number,
  ): number {
    const { book } = this;
    const job = state.job;
    const terms = this.teams.get(job.team);
    if (!terms) return 0;
    if (job.kind === 'gang') {
      if (state.places.size > 0) return 0;
      const all = { cpus: job.cpus * job.tasks, gpus: job.gpus * job.tasks, memory: 0 };
      if (!withinLimit(terms, book.usage.ofTeam(job.team), all)) return 0;
      const chosen = chooseGang(book, state, places, now);
      if (!chosen) return 0;
      const attempt = book.assignments.newAttempt();
      chosen.forEach((machine, i) => book.assignments.assign(state, i, machine, attempt, now));
      for (const m of book.machines.values()) if (m.reservedFor === job.id) m.reservedFor = null;
      return chosen.length;
    }
    // Tasks of the same shape fail alike within a round, unless room was made for just this job.
    if (stuck.has(shapeOf(state)) && !coming.has(state)) return 0;
    // The least-served job takes a few tasks and then queues again behind the others.
    const most = Math.min(8, this.settings.decisionsPerRound);
    let placed = 0;
    const counts = zoneCounts(state);
    const zones = book.usage.tasksByZone(job.class);
    for (const i of book.jobs.waitingTasks(state, most)) {
      if (!withinLimit(terms, book.usage.ofTeam(job.team), job)) break;
      const machine = choosePlace(state, counts, zones, places, now);
      if (!machine) {
        stuck.add(shapeOf(state));
        break;
      }
      book.assignments.assign(state, i, machine, book.assignments.newAttempt(), now);
      counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
      placed++;
    }
    return placed;
  }

  /** On how many machines room is being made for each job. */
  private roomComing(now: number): Map<JobState, number> {
    const out = new Map<JobState, number>();
    for (const { heldFor } of this.book.machines.values()) {
      if (heldFor && heldFor.until >= now) out.set(heldFor.job, (out.get(heldFor.job) ?? 0) + 1);
    }
    return out;
  }

  /**
   * Keeps machines free for gangs that wait, so that small work does not fill every gap: those that
   * can be empty soonest are reserved, oldest gang first.
   */
  reserve(now: number): void {
    const { book } = this;
    const gangs = [...book.jobs.waiting].filter(
      (j) => j.job.kind === 'gang' && j.places.size === 0,
    );
    const waiting = new Set(gangs.map((g) => g.job.id));
    for (const m of book.machines.values()) {
      if (m.reservedFor !== null && !waiting.has(m.reservedFor)) m.reservedFor = null;
      if (m.state === 'dark' || m.draining || m.noticeAt !== null) m.reservedFor = null;
    }
    if (gangs.length === 0) return;
    gangs.sort((a, b) => a.job.rank - b.job.rank || a.acceptedAt - b.acceptedAt);
    const emptying = this.emptying(now);
    const kept = new Map<string, Soon[]>();
    for (const m of book.machines.values()) if (m.reservedFor !== null) kept.set(m.reservedFor, []);
    for (const e of emptying) {
      if (e.machine.reservedFor !== null) kept.get(e.machine.reservedFor)?.push(e);
    }
    for (const m of book.machines.values()) {
      // One that something keeps from becoming empty is no longer waited for.
      if (m.reservedFor !== null && !kept.get(m.reservedFor)?.some((e) => e.machine === m)) {
        m.reservedFor = null;
      }
    }
    for (const gang of gangs) this.reserveFor(gang, emptying, kept.get(gang.job.id) ?? []);
  }

  /** Machines that become empty by themselves, soonest first. */
  private emptying(now: number): Soon[] {
    const out: Soon[] = [];
    for (const machine of this.book.machines.values()) {
      const type = this.book.machines.types.get(machine.type);
      if (!type || machine.state === 'dark' || machine.draining) continue;
      if (machine.noticeAt !== null || machine.avoidUntil > now) continue;
      const wait = emptyIn(machine, type.bootS, now);
      if (wait !== null) out.push({ machine, type, wait });
    }
    return out.sort((a, b) => a.wait - b.wait);
  }

  /**
   * Reserves the machines that are empty soonest and hold the whole gang, in one zone if it must be so.
   * Those that it has count as empty in half the time, so that its choice does not flap.
   */
  private reserveFor(state: JobState, emptying: Soon[], own: Soon[]): void {
    const job = state.job;
    const byZone = new Map<string, { machines: Machine[]; room: number }>();
    let chosen: Machine[] = [];
    for (let i = 0, k = 0; ;) {
      while (i < emptying.length && emptying[i].machine.reservedFor !== null) i++;
      const mine = k < own.length && !(i < emptying.length && emptying[i].wait < own[k].wait / 2);
      const next = mine ? own[k++] : emptying[i++];
      if (!next) break;
      const { machine, type } = next;
      if (!typeFits(job, type) || (machine.spot && !job.spot)) continue;
      if (job.zone !== null && machine.zone !== job.zone) continue;
      const key = job.oneZone ? machine.zone : '';
      let zone = byZone.get(key);
      if (!zone) byZone.set(key, (zone = { machines: [], room: 0 }));
      zone.machines.push(machine);
      zone.room += tasksThatFit(job, EMPTY, type);
      if (zone.room < job.tasks) continue;
      chosen = zone.machines;
      break;
    }
    for (const { machine } of own) machine.reservedFor = null;
    for (const machine of chosen) machine.reservedFor = job.id;
  }

  /**
   * The exceptions to leases that the rules need: work of higher rank, and work within its team's
   * guarantee, may stop other work when it has waited; and gangs at their lease end give way to a
   * team that is far behind. No work is stopped for its own rank or a lower one otherwise.
   */
  private preempt(now: number): void {
    const { book, settings } = this;
    const waiting = [...book.jobs.waiting]
      .filter((j) => j.notBefore <= now && now - j.waitingSince >= settings.preemptAfterS)
      .sort((a, b) => a.job.rank - b.job.rank || a.acceptedAt - b.acceptedAt);
    if (waiting.length === 0) return;
    const stopping = new Set<Machine>();
    for (const m of book.machines.values()) {
      for (const a of m.tasks.values()) if (a.stop !== null) stopping.add(m);
    }
    const coming = this.roomComing(now);
    const failed = new Set<string>();
    let rounds = 0;
    for (const job of waiting) {
      if (rounds >= 4) break;
      if (job.job.kind === 'gang' || failed.has(shapeOf(job))) continue;
      // Room that is being made takes a moment to come free; no more is stopped for it meanwhile.
      if ((coming.get(job) ?? 0) >= this.book.jobs.waitingCount(job)) continue;
      const terms = this.teams.get(job.job.team);
      if (!terms || !withinLimit(terms, book.usage.ofTeam(job.job.team), job.job)) continue;
      if (this.makeRoom(job, stopping, coming, now)) rounds++;
      else failed.add(shapeOf(job));
    }
  }

  /** Beyond its guarantee a team only borrows; one without a guarantee always does. */
  private borrows(team: string): boolean {
    const terms = this.teams.get(team);
    const use = this.book.usage.ofTeam(team);
    if (!terms || (terms.gpus === 0 && terms.cpus === 0)) return true;
    return (terms.gpus > 0 && use.gpus > terms.gpus) || (terms.cpus > 0 && use.cpus > terms.cpus);
  }

  /** One more task of the job stays within its team's guarantee. */
  private owed(state: JobState): boolean {
    const terms = this.teams.get(state.job.team);
    const use = this.book.usage.ofTeam(state.job.team);
    if (!terms || (terms.gpus === 0 && terms.cpus === 0)) return false;
    return (
      (terms.gpus === 0 || use.gpus + state.job.gpus <= terms.gpus) &&
      (terms.cpus === 0 || use.cpus + state.job.cpus <= terms.cpus)
    );
  }

  private mayStop(forJob: JobState, victim: JobState, now: number): boolean {
    const other = victim.job.team !== forJob.job.team;
    if (other && this.owed(forJob) && this.borrows(victim.job.team)) return true;
    if (victim.job.rank > forJob.job.rank) return true;
    if (other && victim.job.kind === 'gang') {
      // The design's own stop: a lease has ended and a team that waits is far behind.
      const started = Math.min(...[...assignmentsOf(victim)].map((a) => a.runningSince ?? now));
      return (
        now - started >= this.settings.gangLeaseS &&
        this.index(forJob.job.team, now) <
          this.settings.stopThreshold * this.index(victim.job.team, now)
      );
    }
    return false;
  }

  private makeRoom(
    state: JobState,
    stopping: Set<Machine>,
    coming: Map<JobState, number>,
    now: number,
  ): boolean {
    const { book } = this;
    const job = state.job;
    const counts = zoneCounts(state);
    let best: { machine: Machine; victims: JobTask[]; cost: number } | null = null;
    for (const machine of book.machines.values()) {
      const type = book.machines.types.get(machine.type);
      if (!type || machine.state !== 'up' || machine.draining || machine.noticeAt !== null)
        continue;
      if (stopping.has(machine) || heldFromUs(machine, state, now)) continue;
      if (machine.reservedFor !== null || (machine.spot && !job.spot)) continue;
      if (!typeFits(job, type) || !zoneAllowed(job, machine.zone, counts)) continue;
      const options: JobTask[] = [];
      for (const a of machine.tasks.values()) {
        if (a.stop === null && settled(a, job, now) && this.mayStop(state, a.job, now)) {
          options.push(a);
        }
      }
      if (options.length === 0) continue;
      options.sort((a, b) => b.job.job.rank - a.job.job.rank || b.since - a.since);
      const victims: JobTask[] = [];
      const used = { ...machine.used };
      for (const a of options) {
        if (hasRoom(job, { ...machine, used }, type)) break;
        used.cpus -= a.job.job.cpus;
        used.gpus -= a.job.job.gpus;
        used.memory -= a.job.job.memory;
        victims.push(a);
      }
      if (!hasRoom(job, { ...machine, used }, type)) continue;
      if (victims.length === 0) continue;
      const cost = victims.reduce((sum, a) => sum + lostWork(a, now), 0);
      if (best === null || cost < best.cost) best = { machine, victims, cost };
    }
    if (!best) return false;
    stopping.add(best.machine);
    const grace = job.checkpointS > 0 ? job.saveS : 0;
    const until = now + 4 * book.settings.reportS + grace + book.settings.gangPeerS;
    const before = best.machine.heldFor?.job;
    if (before) coming.set(before, (coming.get(before) ?? 1) - 1);
    best.machine.heldFor = { job: state, until };
    for (const a of best.victims) this.stopOrderly(a, now);
    return true;
  }

  /** Takes the replicas off a machine that is to be given back; the room found for them is held. */
  empty({ machine, moves }: Emptying, now: number): void {
    machine.draining = true;
    for (const { task, to } of moves) {
      to.heldFor ??= { job: task.job, until: now + 4 * this.book.settings.reportS };
      this.stopOrderly(task, now);
    }
  }

  /** Stops a task so that what can be saved is saved; a gang stops as a whole. */
  stopOrderly(a: JobTask, now: number): void {
    const job = a.job.job;
    const graceS = job.checkpointS > 0 ? job.saveS + this.book.settings.reportS : 0;
    const all = job.kind === 'gang' ? [...assignmentsOf(a.job)] : [a];
    for (const t of all) this.book.assignments.stop(t, graceS, now);
  }
}

type JobTask = Machine['tasks'] extends Map<string, infer T> ? T : never;

/**
 * A start that is undone at once served nobody. So what has just begun to run is left alone for a
 * while, except for the most urgent rank; this also bounds how often two jobs can displace each other.
 */
function settled(a: JobTask, forJob: Job, now: number): boolean {
  return forJob.rank === 0 || a.runningSince === null || now - a.runningSince >= SETTLED_S;
}

function lostWork(a: JobTask, now: number): number {
  const ran = a.runningSince === null ? 0 : now - a.runningSince;
  const share = a.job.job.gpus + a.job.job.cpus / 8;
  return (a.job.job.checkpointS > 0 ? Math.min(ran, a.job.job.saveS) : ran) * share + 1;
}

/** What fails alike: while a job has no task anywhere, its zones are as free as any other's. */
function shapeOf(state: JobState): string {
  const j = state.job;
  const own = (j.spread || j.oneZone) && state.places.size > 0 ? j.id : '';
  return `${state.shape} ${own}`;
}

/** Seconds until a machine could be empty, or null if nothing on it ends by itself. */
function emptyIn(machine: Machine, bootS: number, now: number): number | null {
  if (machine.state === 'booting') return Math.max(1, machine.bornAt + bootS - now);
  let wait = 0;
  for (const a of machine.tasks.values()) {
    const job = a.job.job;
    if (a.stop !== null) continue;
    if (job.kind === 'service') return null;
    const ran = a.runningSince === null ? 0 : now - a.runningSince;
    wait = Math.max(wait, job.estimateS * 1.5 - ran, job.estimateS / 4);
  }
  return wait;
}
