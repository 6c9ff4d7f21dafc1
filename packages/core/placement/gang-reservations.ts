/** Gang reservations: machines that are kept free until a waiting gang can start. */
import type { MachineType } from '#wire';
import { ZERO_RESOURCES } from '../model/resources.js';
import { isCordoned, isLeaving } from './availability.js';
import { kindAllowed, taskCapacity } from './task-requirements.js';
import type { FleetState } from '../fleet-state.js';
import { byRankAndAge } from '../fair-share/job-order.js';
import type { MachineRegistry } from '../model/machine-registry.js';
import type { JobState, Machine } from '../model/entities.js';

/** Factor by which a task is expected to run longer than the estimate of its user. */
const ESTIMATE_MARGIN = 1.5;
/** Least remaining run time that is expected of a task, as a share of its estimate, however long it has run. */
const MIN_REMAINING_SHARE = 1 / 4;
/** A gang switches from a reserved machine only to one that is empty in less than this share of the time. */
const SWITCH_RATIO = 1 / 2;

/** A machine that becomes empty without stopping any firm task. */
interface EmptyingMachine {
  machine: Machine;
  type: MachineType;
  /** Seconds until the machine is empty. */
  emptyInS: number;
}

/** Machines collected for a gang so far, in one zone or across all zones. */
interface CollectedMachines {
  machines: Machine[];
  /** Number of the gang's tasks that these machines hold when they are empty. */
  capacity: number;
}

/**
 * Keeps machines free for waiting gangs; otherwise small tasks would take all capacity that becomes free.
 * The machines that can be empty soonest are reserved. Gangs are served by rank, and by age within a rank.
 */
export class GangReservations {
  constructor(private readonly fleet: FleetState) {}

  /** Updates the reservations of all waiting gangs. */
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

  /** Stops best-effort tasks on reserved machines that no longer run firm tasks. */
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

  /** Ends reservations of machines that have expired or are leaving, and of gangs that no longer wait. */
  private releaseObsolete(waitingGangs: Set<string>): void {
    const { machines } = this.fleet;
    for (const machine of machines.groups.reserved) {
      const isGone = machine.state === 'expired' || isLeaving(machine);
      const gang = machine.reservedForGang;
      if (isGone || gang === null || !waitingGangs.has(gang)) machines.reserve(machine, null);
    }
  }

  /** Ends reservations of machines that are no longer expected to become empty. */
  private releaseIfNotEmptying(emptying: EmptyingMachine[]): void {
    const { machines } = this.fleet;
    const found = new Set(emptying.map(({ machine }) => machine));
    for (const machine of machines.groups.reserved) {
      if (!found.has(machine)) machines.reserve(machine, null);
    }
  }

  /** Returns the machines that become empty without stopping any firm task, soonest first. */
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

/** Whether machines are reserved for the gang: it has not started and is not best-effort. */
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
 * Reserves the machines that are empty soonest and together hold the whole gang, or none if there is no
 * such set. A machine whose capacity is held for another job is not reserved: neither the gang nor the
 * other job could use it.
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
    collected.capacity += taskCapacity(spec, ZERO_RESOURCES, type);
    if (collected.capacity < spec.tasks) continue;
    chosen = collected.machines;
    break;
  }
  for (const { machine } of reservedMachines)
    if (!chosen.includes(machine)) machines.reserve(machine, null);
  for (const machine of chosen) machines.reserve(machine, spec.id);
}

/**
 * Yields the unreserved machines and those reserved for the gang, soonest empty first. The time until reserved
 * machines are empty is multiplied by `SWITCH_RATIO`, so that the gang does not keep switching between machines.
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

/**
 * Seconds until a machine is expected to be empty: until it has booted, or until its firm tasks end by
 * themselves according to their estimates.
 */
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
