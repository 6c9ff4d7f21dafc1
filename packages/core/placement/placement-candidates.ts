/** The machines with capacity for a task, listed once in a round for all tasks with the same requirements. */
import type { Job, MachineType } from '#wire';
import type { Amounts } from '../model/amounts.js';
import { isUsable } from './availability.js';
import { hasCapacity, kindAllowed } from './task-requirements.js';
import type { FleetState } from '../fleet-state.js';
import type { JobState, Machine } from '../model/entities.js';
import { placementCost, spareCapacityCost } from './placement-cost.js';

/** A machine that had capacity for one more task of a job when the list was made. */
export interface Candidate {
  machine: Machine;
  type: MachineType;
  /** Cost of a place there; Infinity: no capacity any more. */
  cost: number;
  /** The machine's `assignmentVersion` when the cost was computed. */
  assignmentVersion: number;
}

/** A machine that meets the requirements, whatever the image. */
interface CandidateMachine {
  machine: Machine;
  type: MachineType;
}

/**
 * Candidates by requirements and image, as they stood when first asked for. Within a round free
 * capacity only shrinks, so a machine that is not in a list can't become a candidate later in the round,
 * and the cost of a place changes only with the tasks on its machine. Without the lists each waiting job
 * would visit every machine in every round. What else may change within a round (holds, reservations) is
 * checked by those who choose.
 */
export class PlacementCandidates {
  private readonly byRequirementsAndImage = new Map<string, Candidate[]>();
  private readonly byRequirements = new Map<string, CandidateMachine[]>();

  constructor(
    private readonly fleet: FleetState,
    private readonly now: number,
  ) {}

  /** Machines that had capacity for a task of the job when first asked for. */
  forJob(job: JobState): Candidate[] {
    const key = `${job.requirementsKey} ${job.spec.image} ${String(job.isBestEffort)}`;
    let candidates = this.byRequirementsAndImage.get(key);
    if (!candidates) {
      candidates = this.machinesWithCapacity(job).map(toCandidate);
      this.byRequirementsAndImage.set(key, candidates);
    }
    return candidates;
  }

  /** Cost of a place for the job now; Infinity if the place is gone. */
  cost(candidate: Candidate, { spec: job, isBestEffort }: JobState): number {
    const { machine, type } = candidate;
    if (candidate.assignmentVersion !== machine.assignmentVersion) {
      const capacity = hasCapacity(job, machine.used, type) && this.isUsable(machine);
      const costOf = isBestEffort && job.gpus === 0 ? spareCapacityCost : placementCost;
      candidate.cost = capacity ? costOf(job, machine, type) : Infinity;
      candidate.assignmentVersion = machine.assignmentVersion;
    }
    return candidate.cost;
  }

  /** Whether any machine, reserved or not, has capacity for `need` under the job's constraints. */
  anyCapacityFor(job: Job, need: Readonly<Amounts>): boolean {
    const { machines } = this.fleet;
    const candidates = machines.free.mayHold(need);
    if (candidates.length === 0) return false;
    const task = { ...job, ...need };
    for (const machine of candidates) {
      const type = machines.typeOf(machine);
      if (!type || !hasCapacity(task, machine.used, type)) continue;
      if (kindAllowed(task, type, machine.zone, machine.spot) && this.isUsable(machine))
        return true;
    }
    return false;
  }

  private machinesWithCapacity({ requirementsKey, spec }: JobState): CandidateMachine[] {
    let candidates = this.byRequirements.get(requirementsKey);
    if (!candidates) {
      this.byRequirements.set(requirementsKey, (candidates = []));
      const { machines } = this.fleet;
      for (const machine of machines.free.mayHold(spec)) {
        const type = machines.typeOf(machine);
        if (!type || !hasCapacity(spec, machine.used, type)) continue;
        if (!kindAllowed(spec, type, machine.zone, machine.spot)) continue;
        if (this.isUsable(machine)) candidates.push({ machine, type });
      }
    }
    return candidates;
  }

  private isUsable(machine: Machine): boolean {
    return isUsable(machine, this.fleet.settings.machineRecordBytes, this.now);
  }
}

function toCandidate({ machine, type }: CandidateMachine): Candidate {
  return { machine, type, cost: 0, assignmentVersion: -1 };
}
