import { tasksThatFit, zoneCap } from './fit.js';
import type { FleetState } from './fleet-state.js';
import type { JobState, Machine } from './model.js';
import type { PlacementCandidates } from './placement-candidates.js';

interface GangOption {
  machine: Machine;
  cost: number;
  /** How many tasks of the gang the machine can take. */
  room: number;
}

interface GangPlacement {
  /** The machine of each task, by index. */
  machines: Machine[];
  /** Cost of the dearest place: the slowest machine sets a gang's speed. */
  cost: number;
}

/** A machine for each task of a gang, by index, or null. Nothing is assigned. */
export function chooseGangMachines(
  fleet: FleetState,
  job: JobState,
  candidates: PlacementCandidates,
  now: number,
): Machine[] | null {
  const zones = job.spec.oneZone ? fleet.machines.zones : [null];
  const options = gangOptions(fleet, job, candidates, now);
  let best: GangPlacement | null = null;
  for (const zone of zones) {
    const found = fillGang(job, zone, options);
    if (found && (best === null || found.cost < best.cost)) best = found;
  }
  return best?.machines ?? null;
}

/** Machines that can take tasks of the gang, cheapest first. */
function gangOptions(
  fleet: FleetState,
  job: JobState,
  candidates: PlacementCandidates,
  now: number,
): GangOption[] {
  const { spec } = job;
  const { maxTasksPerMachine } = fleet.settings;
  const options: GangOption[] = [];
  for (const candidate of candidates.forJob(job)) {
    const { machine, type } = candidate;
    const cost = candidates.cost(candidate, job);
    if (cost === Infinity || fleet.holds.isHeldFromJob(machine, job, now)) continue;
    if (machine.reservedForGang !== null && machine.reservedForGang !== spec.id) continue;
    if (fleet.failures.avoids(job, machine, now)) continue;
    const room = Math.min(
      spec.tasks,
      maxTasksPerMachine - machine.tasks.size,
      tasksThatFit(spec, machine.used, type),
    );
    if (room > 0) options.push({ machine, room, cost });
  }
  return options.sort((a, b) => a.cost - b.cost);
}

/** Takes the cheapest options, in one zone or any (null), until the gang is complete. */
function fillGang(
  { spec }: JobState,
  zone: string | null,
  options: GangOption[],
): GangPlacement | null {
  const machines: Machine[] = [];
  const counts = new Map<string, number>();
  let cost = 0;
  for (const { machine, room, cost: optionCost } of options) {
    if (zone !== null && machine.zone !== zone) continue;
    const inZone = counts.get(machine.zone) ?? 0;
    const count = Math.min(room, spec.tasks - machines.length, zoneCap(spec) - inZone);
    for (let i = 0; i < count; i++) machines.push(machine);
    if (count > 0) {
      cost = Math.max(cost, optionCost);
      counts.set(machine.zone, inZone + count);
    }
    if (machines.length === spec.tasks) return { machines, cost };
  }
  return null;
}
