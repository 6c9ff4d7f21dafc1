/** Starts to scale in machines: drains them and moves their tasks. */
import type { FleetState } from '../fleet-state.js';
import { mayRunToEnd } from '../fair-share/best-effort.js';
import type { Machine } from '../model/entities.js';
import { constrainingTasksByZone } from '../placement/task-requirements.js';
import { chooseMachine } from '../placement/choose-machine.js';
import { PlacementCandidates } from '../placement/placement-candidates.js';
import { HOLD_HEARTBEATS } from '../preemption/capacity-holds.js';
import type { Consolidation } from './consolidation.js';

/** Drains a machine, stops its replicas, and holds the capacity found for them on other machines. */
export function startConsolidation(
  fleet: FleetState,
  { machine, moves }: Consolidation,
  now: number,
): void {
  beginScaleIn(fleet, machine, now);
  for (const { task, to } of moves) {
    if (to.capacityHold === null) {
      fleet.holds.hold(to, task.job, now + HOLD_HEARTBEATS * fleet.settings.heartbeatIntervalS);
    }
    fleet.assignments.stopGracefully(task, now);
  }
}

/**
 * Drains the machine, so that it is deprovisioned once it is empty. Best-effort tasks that may not run to
 * their end are stopped if another machine has capacity for them. A job's tasks are moved no more often than
 * the job has tasks: in a shrinking fleet they would otherwise move from machine to machine and never end.
 */
export function beginScaleIn(fleet: FleetState, machine: Machine, now: number): void {
  fleet.machines.drain(machine);
  let candidates = new PlacementCandidates(fleet, now);
  for (const task of [...machine.tasks.values()]) {
    const { job, stop } = task;
    if (!job.isBestEffort || stop !== null || mayRunToEnd(fleet, task, now)) continue;
    if (job.tasksMoved >= job.spec.tasks) continue;
    if (chooseMachine(fleet, job, constrainingTasksByZone(job), candidates, now) === null) continue;
    job.tasksMoved++;
    fleet.assignments.stopGracefully(task, now);
    // Stopping a gang immediately ends those of its tasks that have not started. This frees capacity elsewhere.
    if (job.spec.kind === 'gang') candidates = new PlacementCandidates(fleet, now);
  }
}
