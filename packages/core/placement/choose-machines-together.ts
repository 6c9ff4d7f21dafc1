import { bindingZones, tasksThatFit, zoneAllowed, zoneCap } from './bin-packing.js';
import type { FleetState } from '../fleet-state.js';
import { mostEntryBytes } from '../model/machine-record-size.js';
import type { JobState, Machine } from '../model/model.js';
import type { PlacementCandidates } from './placement-candidates.js';

/** Tasks that get places together or not at all: those of a gang, or the members of one replica. */
export interface JointRequest {
  tasks: number;
  /** All of them must be in the same zone. */
  oneZone: boolean;
}

interface Option {
  machine: Machine;
  cost: number;
  /** How many of the tasks the machine can take. */
  capacity: number;
}

interface JointPlacement {
  /** The machine of each task, in order. */
  machines: Machine[];
  /** Cost of the dearest place: the slowest machine sets the speed of all. */
  cost: number;
}

/** A machine for each of the tasks, or null if not all find one. Nothing is assigned. */
export function chooseMachinesTogether(
  fleet: FleetState,
  job: JobState,
  request: JointRequest,
  candidates: PlacementCandidates,
  now: number,
): Machine[] | null {
  const zones = request.oneZone ? fleet.machines.zones : [null];
  const options = optionsFor(fleet, job, request, candidates, now);
  const taken = bindingZones(job);
  let best: JointPlacement | null = null;
  for (const zone of zones) {
    const found = fill(job, request, zone, options, taken);
    if (found && (best === null || found.cost < best.cost)) best = found;
  }
  return best?.machines ?? null;
}

/** Machines that can take some of the tasks, cheapest first. */
function optionsFor(
  fleet: FleetState,
  job: JobState,
  request: JointRequest,
  candidates: PlacementCandidates,
  now: number,
): Option[] {
  const { spec } = job;
  const { machineRecordBytes } = fleet.settings;
  const entrySize = mostEntryBytes(spec);
  const options: Option[] = [];
  for (const candidate of candidates.forJob(job)) {
    const { machine, type } = candidate;
    const cost = candidates.cost(candidate, job);
    if (cost === Infinity || fleet.holds.isHeldFromJob(machine, job, now)) continue;
    if (machine.reservedForGang !== null && machine.reservedForGang !== spec.id) continue;
    if (fleet.failures.isExcluded(job, machine, now)) continue;
    const capacity = Math.min(
      request.tasks,
      Math.floor((machineRecordBytes - machine.recordBytes) / entrySize),
      tasksThatFit(spec, machine.used, type),
    );
    if (capacity > 0) options.push({ machine, capacity, cost });
  }
  return options.sort((a, b) => a.cost - b.cost);
}

/** Takes the cheapest options, in one zone or any (null), until all tasks have one. `taken` counts the job's other tasks. */
function fill(
  { spec }: JobState,
  { tasks }: JointRequest,
  zone: string | null,
  options: Option[],
  taken: ReadonlyMap<string, number>,
): JointPlacement | null {
  const machines: Machine[] = [];
  const counts = new Map(taken);
  let cost = 0;
  for (const { machine, capacity, cost: optionCost } of options) {
    if (zone !== null && machine.zone !== zone) continue;
    if (!zoneAllowed(spec, machine.zone, counts)) continue;
    const inZone = counts.get(machine.zone) ?? 0;
    const count = Math.min(capacity, tasks - machines.length, zoneCap(spec) - inZone);
    for (let i = 0; i < count; i++) machines.push(machine);
    if (count > 0) {
      cost = Math.max(cost, optionCost);
      counts.set(machine.zone, inZone + count);
    }
    if (machines.length === tasks) return { machines, cost };
  }
  return null;
}
