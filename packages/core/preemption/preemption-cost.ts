/** Computes how much work is lost when tasks are preempted. */
import type { Assignment } from '../model/entities.js';

/** Processors that count as much as one accelerator when lost work is compared. */
const CPUS_PER_GPU = 8;

/** Accelerator seconds that are lost by preempting the assignments and the other members of their replicas. */
export function preemptionCost(victims: Assignment[], now: number): number {
  return wholeReplicas(victims).reduce((sum, each) => sum + lostWork(each, now), 0);
}

/** Adds the other members of each victim's replica, since a replica is stopped as a whole. */
function wholeReplicas(victims: Assignment[]): Assignment[] {
  if (victims.every(({ job }) => job.replicas === null)) return victims;
  return [
    ...new Set(victims.flatMap((each) => each.job.replicas?.assignmentsOfReplica(each) ?? [each])),
  ];
}

/** Accelerator seconds that are lost if the task is stopped, plus one, so that fewer stops are preferred. */
function lostWork({ job: { spec }, runningSince }: Assignment, now: number): number {
  const ranS = runningSince === null ? 0 : now - runningSince;
  const lostS = spec.checkpointS > 0 ? Math.min(ranS, spec.saveS) : ranS;
  return lostS * (spec.gpus + spec.cpus / CPUS_PER_GPU) + 1;
}
