/** Gang reservations: machines that are kept free until a waiting gang can start. */
import type { MachineType } from '#wire';
import { ZERO_AMOUNTS } from '../model/amounts.js';
import { isCordoned, isLeaving } from './availability.js';
import { kindAllowed, taskCapacity } from './task-requirements.js';
import type { FleetState } from '../fleet-state.js';
import { byRankAndAge } from '../fair-share/job-order.js';
import type { MachineRegistry } from '../model/machine-registry.js';
import type { JobState, Machine } from '../model/entities.js';

/** Run times are estimated by users; a task is expected to take this many times as long. */
const ESTIMATE_MARGIN = 1.5;
/** Share of the estimate that a task is expected to run on at least, however long it has run already. */
const MIN_REMAINING_SHARE = 1 / 4;
/** A gang keeps its machines unless another is empty in less than this share of their time. */
const SWITCH_RATIO = 1 / 2;

/** A machine that becomes empty without a stop of firm work. */
interface EmptyingMachine {
  machine: Machine;
  type: MachineType;
  /** Seconds until then. */
  emptyInS: number;
}

/** Machines collected for a gang so far, in one zone or in all. */
interface CollectedMachines {
  machines: Machine[];
  /** Tasks of the gang that they hold when empty. */
  capacity: number;
}

/**
 * Keeps machines free for gangs that wait, so that small tasks do not fill every gap. The machines
 * that can be empty soonest are reserved, for the oldest gang of the highest rank first.
 */
export class GangReservations {
  constructor(private readonly fleet: FleetState) {}

  /** Brings all reservations up to date. */
  update(now: number): void {
    const gangs = [...this.fleet.jobs.waiting.gangs].filter(
      (job) => needsReservations(job) && this.fleet.failures.mayRequestCapacity(job, now),
    );
    this.releaseObsolete(new Set(gangs.map((gang) => gang.spec.id)));
    if (gangs.length === 0) return;
    const emptying = this.emptyingMachines(now);
    this.releaseIfNotEmptying(emptying);
    const byGang = reservedByGang(emptying);
    for (const gang of gangs.sort(byRankAndAge)) {
      const { holds, failures } = this.fleet;
      const isUnavailable = (machine: Machine) =>
        holds.isHeldForOther(machine, gang, now) || failures.isExcluded(gang, machine, now);
      reserveFor(
        this.fleet.machines,
        gang,
        emptying,
        byGang.get(gang.spec.id) ?? [],
        isUnavailable,
      );
    }
    this.stopBestEffortOnReserved(emptying, now);
  }

  /** Stops best-effort work on reserved machines once no firm work is left there. */
  private stopBestEffortOnReserved(emptying: EmptyingMachine[], now: number): void {
    for (const { machine } of emptying) {
      if (machine.reservedForGang === null || machine.firmTasks > 0) continue;
      for (const task of [...machine.tasks.values()]) {
        if (task.stop === null) this.fleet.assignments.stopGracefully(task, now);
      }
    }
  }

  /** Ends the reservations of a gang that has started. */
  release(gangId: string): void {
    const { machines } = this.fleet;
    for (const machine of machines.groups.reserved) {
      if (machine.reservedForGang === gangId) machines.reserve(machine, null);
    }
  }

  /** Ends reservations of machines that are gone or leave, and of gangs that wait no more. */
  private releaseObsolete(waitingGangs: Set<string>): void {
    const { machines } = this.fleet;
    for (const machine of machines.groups.reserved) {
      const isGone = machine.state === 'expired' || isLeaving(machine);
      const gang = machine.reservedForGang;
      if (isGone || gang === null || !waitingGangs.has(gang)) machines.reserve(machine, null);
    }
  }

  /** Ends reservations of machines that something keeps from becoming empty. */
  private releaseIfNotEmptying(emptying: EmptyingMachine[]): void {
    const { machines } = this.fleet;
    const found = new Set(emptying.map(({ machine }) => machine));
    for (const machine of machines.groups.reserved) {
      if (!found.has(machine)) machines.reserve(machine, null);
    }
  }

  /** Machines that become empty without a stop of firm work, soonest first. */
  private emptyingMachines(now: number): EmptyingMachine[] {
    const found: EmptyingMachine[] = [];
    const { machines } = this.fleet;
    for (const machine of machines.groups.emptying) {
      const type = machines.typeOf(machine);
      if (!type || isCordoned(machine, now)) continue;
      found.push({ machine, type, emptyInS: secondsUntilEmpty(machine, type.bootS, now) });
    }
    return found.sort((a, b) => a.emptyInS - b.emptyInS);
  }
}

/** Whether machines are kept free for the gang; for best-effort work none are. */
function needsReservations(job: JobState): boolean {
  return job.assignments.size === 0 && !job.isBestEffort;
}

function reservedByGang(emptying: EmptyingMachine[]): Map<string, EmptyingMachine[]> {
  const byGang = new Map<string, EmptyingMachine[]>();
  for (const candidate of emptying) {
    const gang = candidate.machine.reservedForGang;
    if (gang === null) continue;
    const ofGang = byGang.get(gang);
    if (ofGang) ofGang.push(candidate);
    else byGang.set(gang, [candidate]);
  }
  return byGang;
}

/**
 * Reserves the machines that are empty soonest and hold the whole gang; none if no set does. A machine
 * whose capacity is held for another job is not reserved as well, or neither of the two could use it.
 */
function reserveFor(
  machines: MachineRegistry,
  { spec }: JobState,
  emptying: EmptyingMachine[],
  reservedMachines: EmptyingMachine[],
  isUnavailable: (machine: Machine) => boolean,
): void {
  const byZone = new Map<string, CollectedMachines>();
  let chosen: Machine[] = [];
  for (const { machine, type } of soonestFirst(emptying, reservedMachines)) {
    if (!kindAllowed(spec, type, machine.zone, machine.spot) || isUnavailable(machine)) continue;
    const zone = spec.oneZone ? machine.zone : '';
    let collected = byZone.get(zone);
    if (!collected) byZone.set(zone, (collected = { machines: [], capacity: 0 }));
    collected.machines.push(machine);
    collected.capacity += taskCapacity(spec, ZERO_AMOUNTS, type);
    if (collected.capacity < spec.tasks) continue;
    chosen = collected.machines;
    break;
  }
  for (const { machine } of reservedMachines)
    if (!chosen.includes(machine)) machines.reserve(machine, null);
  for (const machine of chosen) machines.reserve(machine, spec.id);
}

/**
 * The machines that nobody has reserved and the gang's own, by time. Its own count as empty in half the
 * time, so that the choice does not flap.
 */
function* soonestFirst(
  emptying: EmptyingMachine[],
  reservedMachines: EmptyingMachine[],
): Generator<EmptyingMachine> {
  let freeIndex = 0;
  let reservedIndex = 0;
  for (;;) {
    while (freeIndex < emptying.length && emptying[freeIndex].machine.reservedForGang !== null)
      freeIndex++;
    const nextFree = emptying.at(freeIndex);
    const nextReserved = reservedMachines.at(reservedIndex);
    if (nextReserved && !(nextFree && nextFree.emptyInS < nextReserved.emptyInS * SWITCH_RATIO)) {
      reservedIndex++;
      yield nextReserved;
    } else if (nextFree) {
      freeIndex++;
      yield nextFree;
    } else return;
  }
}

/** Seconds until a machine could be empty on which all firm tasks end by themselves, by their estimates. */
function secondsUntilEmpty(machine: Machine, bootS: number, now: number): number {
  if (machine.state === 'booting') return Math.max(1, machine.requestedAt + bootS - now);
  let untilEmptyS = 0;
  for (const { job, stop, runningSince } of machine.tasks.values()) {
    const { estimateS } = job.spec;
    if (stop !== null || job.isBestEffort) continue;
    const ranS = runningSince === null ? 0 : now - runningSince;
    untilEmptyS = Math.max(
      untilEmptyS,
      estimateS * ESTIMATE_MARGIN - ranS,
      estimateS * MIN_REMAINING_SHARE,
    );
  }
  return untilEmptyS;
}
