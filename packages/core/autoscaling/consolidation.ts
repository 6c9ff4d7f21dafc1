/** Consolidation: finds a machine with little use whose replicas have capacity on other machines. */
import type { Job, MachineType } from '#wire';
import { firmUse } from '../fair-share/best-effort.js';
import type { FleetState } from '../fleet-state.js';
import { addResources, type Resources, ROUNDING_TOLERANCE } from '../model/resources.js';
import type { Assignment, Machine } from '../model/entities.js';
import { isUsable } from '../placement/availability.js';
import { hasCapacity, kindAllowed } from '../placement/task-requirements.js';
import { hasRunMinimumTime } from '../preemption/minimum-run-time.js';
import type { ExistingBin } from './bins.js';

/** Largest share of a machine that firm tasks may use for the machine to be emptied. */
const MAX_LOAD = 0.5;

/** A replica and the machine to which it moves. */
export interface Move {
  task: Assignment;
  to: Machine;
}

/** A machine that can be scaled in once its replicas have moved. */
export interface Consolidation {
  machine: Machine;
  moves: Move[];
}

/**
 * Returns the machine with the highest price per replica whose replicas all find capacity on other machines,
 * or null if there is none. The other machines must be in the same zone, have the replica's image, and be used
 * at least as much. A move then costs a stop and a start, but no image fetch. Without consolidation, falling
 * demand would leave many machines with one replica each.
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
  // A machine is kept if it is reserved for a gang or the plan has packed further tasks into it.
  if (reservedForGang !== null || used.cpus > firmUse(machine).cpus + ROUNDING_TOLERANCE)
    return false;
  return firmTasksOf(machine).every((task) => isMovable(task, now));
}

function pricePerTask({ machine, type }: ExistingBin): number {
  return type.price / machine.firmTasks;
}

/** Number of best-effort tasks on the machine, each of which may have to start again elsewhere. */
function bestEffortTaskCount({ machine }: ExistingBin): number {
  return machine.tasks.size - machine.firmTasks;
}

function isMovable({ job, stop, reportedState, runningSince }: Assignment, now: number): boolean {
  const hasStarted = runningSince !== null && hasRunMinimumTime(runningSince, now);
  // A replica with several members would have to move as a whole, so only single replicas are moved.
  const isSingle = job.spec.kind === 'service' && job.replicas === null;
  return isSingle && stop === null && hasStarted && reportedState === 'running';
}

/** Returns a target machine for each firm task of the bin, or null if some task finds none. */
function findMoves(
  fleet: FleetState,
  from: ExistingBin,
  bins: ExistingBin[],
  now: number,
): Move[] | null {
  const plannedUse = new Map<ExistingBin, Resources>();
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
    addResources(used, spec, 1);
    plannedUse.set(target, used);
    moves.push({ task, to: target.machine });
  }
  return moves;
}

/** Whether replicas of the job may move from the bin `from` to the first bin; free capacity is not checked. */
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

/** Share of the machine's processors or accelerators that firm tasks use; the larger of the two. */
function load(machine: Machine, type: MachineType): number {
  const used = firmUse(machine);
  return Math.max(
    type.cpus > 0 ? used.cpus / type.cpus : 0,
    type.gpus > 0 ? used.gpus / type.gpus : 0,
  );
}
