import type { MachineType } from '#wire';
import { ZERO_AMOUNTS } from '../model/amounts.js';
import { isCordoned } from './availability.js';
import { kindAllowed, tasksThatFit } from './bin-packing.js';
import type { FleetState } from '../fleet-state.js';
import { byRankAndAge } from '../fair-share/job-queues.js';
import type { MachineRegistry } from '../model/machine-registry.js';
import type { JobState, Machine } from '../model/model.js';

/** Run times are estimated by their owners; a task is expected to take this many times as long... */
const ESTIMATE_MARGIN = 1.5;
/** ...and at least this share of the estimate from now, however long it has run already. */
const ESTIMATE_REST = 1 / 4;
/** A gang's own machines are kept unless another is empty in less than this share of their time. */
const CHANGE_RATIO = 1 / 2;

/** A machine that becomes empty by itself. */
interface EmptyingMachine {
  machine: Machine;
  type: MachineType;
  /** Seconds until then. */
  waitS: number;
}

/** Machines found for a gang so far, in one zone or all. */
interface Found {
  machines: Machine[];
  /** Tasks of the gang that they hold when empty. */
  capacity: number;
}

/**
 * Keeps machines free for gangs that wait, so that small work does not fill every gap: those that can
 * be empty soonest are reserved, oldest gang of the highest rank first.
 */
export class GangReservations {
  constructor(private readonly fleet: FleetState) {}

  /** Brings all reservations up to date. */
  update(now: number): void {
    const gangs = [...this.fleet.jobs.waiting.gangs].filter(
      (job) => isWaitingGang(job) && this.fleet.failures.mayRequestCapacity(job, now),
    );
    this.releaseObsolete(new Set(gangs.map((gang) => gang.spec.id)));
    if (gangs.length === 0) return;
    const emptying = this.emptyingMachines(now);
    this.releaseIfNotEmptying(emptying);
    const byGang = reservedByGang(emptying);
    for (const gang of gangs.sort(byRankAndAge)) {
      const { holds, failures } = this.fleet;
      const isHeld = (machine: Machine) =>
        holds.isHeldFromJob(machine, gang, now) || failures.isExcluded(gang, machine, now);
      reserveFor(this.fleet.machines, gang, emptying, byGang.get(gang.spec.id) ?? [], isHeld);
    }
    this.clearReserved(emptying, now);
  }

  /** Once only best-effort work is left on a reserved machine, it gives way. */
  private clearReserved(emptying: EmptyingMachine[], now: number): void {
    for (const { machine } of emptying) {
      if (machine.reservedForGang === null || machine.firmTasks > 0) continue;
      for (const task of [...machine.tasks.values()]) {
        if (task.stop === null) this.fleet.assignments.stopGracefully(task, now);
      }
    }
  }

  /** The gang has started. */
  release(gangId: string): void {
    const { machines } = this.fleet;
    for (const machine of machines.groups.reserved) {
      if (machine.reservedForGang === gangId) machines.reserve(machine, null);
    }
  }

  private releaseObsolete(waitingGangs: Set<string>): void {
    const { machines } = this.fleet;
    for (const machine of machines.groups.reserved) {
      const leaves = machine.state === 'expired' || machine.draining || machine.reclaimAt !== null;
      const gang = machine.reservedForGang;
      if (leaves || gang === null || !waitingGangs.has(gang)) machines.reserve(machine, null);
    }
  }

  /** One that something keeps from becoming empty is no longer waited for. */
  private releaseIfNotEmptying(emptying: EmptyingMachine[]): void {
    const { machines } = this.fleet;
    const found = new Set(emptying.map(({ machine }) => machine));
    for (const machine of machines.groups.reserved) {
      if (!found.has(machine)) machines.reserve(machine, null);
    }
  }

  /** Machines that become empty by themselves, soonest first. */
  private emptyingMachines(now: number): EmptyingMachine[] {
    const found: EmptyingMachine[] = [];
    const { machines } = this.fleet;
    for (const machine of machines.groups.emptying) {
      const type = machines.typeOf(machine);
      if (!type || isCordoned(machine, now)) continue;
      found.push({ machine, type, waitS: emptyInS(machine, type.bootS, now) });
    }
    return found.sort((a, b) => a.waitS - b.waitS);
  }
}

/** Machines are not kept free for best-effort work. */
function isWaitingGang(job: JobState): boolean {
  return job.assignments.size === 0 && !job.isBestEffort;
}

function reservedByGang(emptying: EmptyingMachine[]): Map<string, EmptyingMachine[]> {
  const byGang = new Map<string, EmptyingMachine[]>();
  for (const candidate of emptying) {
    const gang = candidate.machine.reservedForGang;
    if (gang === null) continue;
    const own = byGang.get(gang);
    if (own) own.push(candidate);
    else byGang.set(gang, [candidate]);
  }
  return byGang;
}

/**
 * Reserves the machines that are empty soonest and hold the whole gang; none if no set does. A machine
 * whose room is held for other work is left to it: reserved as well, it would serve neither of the two.
 */
function reserveFor(
  machines: MachineRegistry,
  { spec }: JobState,
  emptying: EmptyingMachine[],
  own: EmptyingMachine[],
  isHeld: (machine: Machine) => boolean,
): void {
  const byZone = new Map<string, Found>();
  let chosen: Machine[] = [];
  for (const { machine, type } of soonestFirst(emptying, own)) {
    if (!kindAllowed(spec, type, machine.zone, machine.spot) || isHeld(machine)) continue;
    const zone = spec.oneZone ? machine.zone : '';
    let found = byZone.get(zone);
    if (!found) byZone.set(zone, (found = { machines: [], capacity: 0 }));
    found.machines.push(machine);
    found.capacity += tasksThatFit(spec, ZERO_AMOUNTS, type);
    if (found.capacity < spec.tasks) continue;
    chosen = found.machines;
    break;
  }
  for (const { machine } of own) if (!chosen.includes(machine)) machines.reserve(machine, null);
  for (const machine of chosen) machines.reserve(machine, spec.id);
}

/**
 * The machines that nobody has reserved and the gang's own, by time. Its own count as empty in half the
 * time, so that the choice does not flap.
 */
function* soonestFirst(
  emptying: EmptyingMachine[],
  own: EmptyingMachine[],
): Generator<EmptyingMachine> {
  let free = 0;
  let mine = 0;
  for (;;) {
    while (free < emptying.length && emptying[free].machine.reservedForGang !== null) free++;
    const nextFree = emptying[free];
    const nextOwn = own[mine];
    if (nextOwn && !(nextFree && nextFree.waitS < nextOwn.waitS * CHANGE_RATIO)) {
      mine++;
      yield nextOwn;
    } else if (nextFree) {
      free++;
      yield nextFree;
    } else return;
  }
}

/** Seconds until a machine could be empty on which all firm tasks end by themselves. */
function emptyInS(machine: Machine, bootS: number, now: number): number {
  if (machine.state === 'booting') return Math.max(1, machine.requestedAt + bootS - now);
  let waitS = 0;
  for (const { job, stop, runningSince } of machine.tasks.values()) {
    const { estimateS } = job.spec;
    if (stop !== null || job.isBestEffort) continue;
    const ranS = runningSince === null ? 0 : now - runningSince;
    waitS = Math.max(waitS, estimateS * ESTIMATE_MARGIN - ranS, estimateS * ESTIMATE_REST);
  }
  return waitS;
}
