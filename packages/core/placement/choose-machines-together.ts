/** Chooses machines for tasks that are placed together: a gang, or the members of one replica. */
import type { FleetState } from '../fleet-state.js';
import { maxTaskEntryBytes } from '../model/machine-record-size.js';
import type { JobState, Machine } from '../model/entities.js';
import { isReservedForOther } from './availability.js';
import {
  constrainingTasksByZone,
  taskCapacity,
  zoneAllowed,
  zoneCapacity,
} from './task-requirements.js';
import type { PlacementCandidates } from './placement-candidates.js';

/** Tasks that are placed together or not at all: those of a gang, or the members of one replica. */
export interface JointRequest {
  tasks: number;
  /** Whether all of the tasks must be in the same zone. */
  oneZone: boolean;
}

/** A machine that has capacity for at least one of the tasks. */
interface MachineOption {
  machine: Machine;
  cost: number;
  /** Number of the tasks that the machine has capacity for. */
  capacity: number;
}

/** A machine for each of the tasks. */
interface JointPlacement {
  /** The machine of each task, in order. */
  machines: Machine[];
  /** Cost of the most expensive machine, since the slowest machine sets the speed of all tasks. */
  cost: number;
}

/** Returns a machine for each of the tasks, or null if some task finds none. Assigns nothing. */
export function chooseMachinesTogether(
  fleet: FleetState,
  job: JobState,
  request: JointRequest,
  candidates: PlacementCandidates,
  now: number,
): Machine[] | null {
  const zones = request.oneZone ? fleet.machines.zones : [null];
  const options = machineOptions(fleet, job, request, candidates, now);
  const otherTasksByZone = constrainingTasksByZone(job);
  let best: JointPlacement | null = null;
  for (const zone of zones) {
    const placement = chooseMachinesInZone(job, request, zone, options, otherTasksByZone);
    if (placement && (best === null || placement.cost < best.cost)) best = placement;
  }
  return best?.machines ?? null;
}

/** Returns the machines that have capacity for at least one of the tasks, in order of cost. */
function machineOptions(
  fleet: FleetState,
  job: JobState,
  request: JointRequest,
  candidates: PlacementCandidates,
  now: number,
): MachineOption[] {
  const { spec } = job;
  const { machineRecordBytes } = fleet.settings;
  const maxEntryBytes = maxTaskEntryBytes(spec);
  const options: MachineOption[] = [];
  for (const candidate of candidates.forJob(job)) {
    const { machine, type } = candidate;
    const cost = candidates.cost(candidate, job);
    if (cost === Infinity || fleet.holds.isHeldForOther(machine, job, now)) continue;
    if (isReservedForOther(machine.reservedForGang, spec.id)) continue;
    if (fleet.failures.isExcluded(job, machine, now)) continue;
    const capacity = Math.min(
      request.tasks,
      Math.floor((machineRecordBytes - machine.recordBytes) / maxEntryBytes),
      taskCapacity(spec, machine.used, type),
    );
    if (capacity > 0) options.push({ machine, capacity, cost });
  }
  return options.sort((a, b) => a.cost - b.cost);
}

/**
 * Fills the options in order, or those in `zone` if it is not null, until each task has a machine.
 * Returns null if some task finds none. `otherTasksByZone` counts the job's tasks that are already placed.
 */
function chooseMachinesInZone(
  { spec }: JobState,
  { tasks }: JointRequest,
  zone: string | null,
  options: MachineOption[],
  otherTasksByZone: ReadonlyMap<string, number>,
): JointPlacement | null {
  const machines: Machine[] = [];
  const tasksByZone = new Map(otherTasksByZone);
  let cost = 0;
  for (const { machine, capacity, cost: optionCost } of options) {
    if (zone !== null && machine.zone !== zone) continue;
    if (!zoneAllowed(spec, machine.zone, tasksByZone)) continue;
    const inZone = tasksByZone.get(machine.zone) ?? 0;
    const count = Math.min(capacity, tasks - machines.length, zoneCapacity(spec) - inZone);
    for (let i = 0; i < count; i++) machines.push(machine);
    if (count > 0) {
      cost = Math.max(cost, optionCost);
      tasksByZone.set(machine.zone, inZone + count);
    }
    if (machines.length === tasks) return { machines, cost };
  }
  return null;
}
