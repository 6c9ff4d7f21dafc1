/** Chooses the machine for a single task. */
import { mayUseSpareCapacity } from '../fair-share/best-effort.js';
import type { FleetState } from '../fleet-state.js';
import type { JobState, Machine } from '../model/entities.js';
import { isReservedForOther } from './availability.js';
import { zoneAllowed } from './task-requirements.js';
import type { PlacementCandidates } from './placement-candidates.js';
import { SPREAD_TASK_COST_S } from './placement-cost.js';

/**
 * Returns the machine of lowest cost for a single task of the job, or null if no machine can take it.
 * Assigns nothing. `jobTasksByZone` counts the job's tasks by zone.
 */
export function chooseMachine(
  fleet: FleetState,
  job: JobState,
  jobTasksByZone: Map<string, number>,
  candidates: PlacementCandidates,
  now: number,
): Machine | null {
  const { spec } = job;
  const classTasksByZone = fleet.usage.tasksByZone(spec.class);
  let best: Machine | null = null;
  let lowestCost = Infinity;
  for (const candidate of candidates.forJob(job)) {
    const { machine } = candidate;
    let cost = candidates.cost(candidate, job);
    // Spreading the tasks of a class over the zones means that a zone outage stops fewer of them.
    if (spec.spread) cost += (classTasksByZone.get(machine.zone) ?? 0) * SPREAD_TASK_COST_S;
    if (cost >= lowestCost) continue;
    if (isReservedForOther(machine.reservedForGang, spec.id)) continue;
    if (job.isBestEffort && !mayUseSpareCapacity(fleet, job, machine, candidate.type, now))
      continue;
    if (fleet.holds.isHeldForOther(machine, job, now)) continue;
    if (fleet.failures.isExcluded(job, machine, now)) continue;
    if (!zoneAllowed(spec, machine.zone, jobTasksByZone)) continue;
    best = machine;
    lowestCost = cost;
  }
  return best;
}
