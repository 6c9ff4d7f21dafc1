/** Consolidation: finds a little used machine whose replicas other machines have capacity for. */
import type { Job, MachineType } from '#wire';
import { firmUse } from '../fair-share/best-effort.js';
import type { FleetState } from '../fleet-state.js';
import { addAmounts, type Amounts, ROUNDING } from '../model/amounts.js';
import type { Assignment, Machine } from '../model/entities.js';
import { isUsable } from '../placement/availability.js';
import { hasCapacity, kindAllowed } from '../placement/task-requirements.js';
import { isPastStartWindow } from '../preemption/start-window.js';
import type { ExistingBin } from './bins.js';

/** No machine of which firm work uses a larger share is emptied. */
const MAX_LOAD = 0.5;

/** A replica and the machine that has capacity for it. */
export interface Move {
  task: Assignment;
  to: Machine;
}

/** A machine that can be scaled in once its replicas run elsewhere. */
export interface Consolidation {
  machine: Machine;
  moves: Move[];
}

/**
 * The most expensive machine, per replica on it, whose replicas all find capacity on machines of the same
 * zone that have their image and are used more; null if there is none. Such a move takes a stop and a
 * start without a fetch. Without moves, a fleet whose demand falls ends as many machines with one replica
 * each.
 */
export function findConsolidation(
  fleet: FleetState,
  bins: ExistingBin[],
  now: number,
): Consolidation | null {
  const candidates = bins
    .filter((bin) => canBeEmptied(fleet, bin, now))
    .sort(
      (a, b) =>
        pricePerTask(b) - pricePerTask(a) || bestEffortTaskCount(a) - bestEffortTaskCount(b),
    );
  for (const bin of candidates) {
    const moves = findMoves(fleet, bin, bins, now);
    if (moves) return { machine: bin.machine, moves };
  }
  return null;
}

function canBeEmptied(fleet: FleetState, bin: ExistingBin, now: number): boolean {
  const { machine, type, used, reservedForGang } = bin;
  if (machine.firmTasks === 0 || load(machine, type) > MAX_LOAD) return false;
  if (!isUsable(machine, fleet.settings.machineRecordBytes, now)) return false;
  // Machines that a gang is waiting for, or that the plan has packed more work on, are kept.
  if (reservedForGang !== null || used.cpus > firmUse(machine).cpus + ROUNDING) return false;
  return firmTasksOf(machine).every((task) => isMovable(task, now));
}

function pricePerTask({ machine, type }: ExistingBin): number {
  return type.price / machine.firmTasks;
}

/** Best-effort tasks there, each of which may have to start again. */
function bestEffortTaskCount({ machine }: ExistingBin): number {
  return machine.tasks.size - machine.firmTasks;
}

function isMovable({ job, stop, reportedState, runningSince }: Assignment, now: number): boolean {
  const hasStarted = runningSince !== null && isPastStartWindow(runningSince, now);
  // A replica of several members would have to move as a whole.
  const isSingle = job.spec.kind === 'service' && job.replicas === null;
  return isSingle && stop === null && hasStarted && reportedState === 'running';
}

/** A machine for each firm task of the bin, or null if one finds none. */
function findMoves(
  fleet: FleetState,
  from: ExistingBin,
  bins: ExistingBin[],
  now: number,
): Move[] | null {
  const plannedUse = new Map<ExistingBin, Amounts>();
  const moves: Move[] = [];
  for (const task of firmTasksOf(from.machine)) {
    const { spec } = task.job;
    const target = bins.find(
      (bin) =>
        bin !== from &&
        canReceive(fleet, bin, from, spec, now) &&
        hasCapacity(spec, plannedUse.get(bin) ?? bin.used, bin.type),
    );
    if (!target) return null;
    const used = plannedUse.get(target) ?? { ...target.used };
    addAmounts(used, spec, 1);
    plannedUse.set(target, used);
    moves.push({ task, to: target.machine });
  }
  return moves;
}

/** Whether replicas of the job may move there from the other machine, if there is capacity. */
function canReceive(
  fleet: FleetState,
  { machine, type, reservedForGang }: ExistingBin,
  from: ExistingBin,
  job: Job,
  now: number,
): boolean {
  return (
    reservedForGang === null &&
    machine.zone === from.machine.zone &&
    machine.capacityHold === null &&
    machine.images.has(job.image) &&
    kindAllowed(job, type, machine.zone, machine.spot) &&
    load(machine, type) >= load(from.machine, from.type) &&
    isUsable(machine, fleet.settings.machineRecordBytes, now)
  );
}

function firmTasksOf(machine: Machine): Assignment[] {
  return [...machine.tasks.values()].filter(({ job }) => !job.isBestEffort);
}

/** Share of the machine that firm work uses. */
function load(machine: Machine, type: MachineType): number {
  const used = firmUse(machine);
  return Math.max(
    type.cpus > 0 ? used.cpus / type.cpus : 0,
    type.gpus > 0 ? used.gpus / type.gpus : 0,
  );
}
