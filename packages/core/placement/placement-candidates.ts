/** Lists the machines with capacity for a task, once per round for all tasks with the same requirements. */
import type { Job, MachineType } from '#wire';
import type { Resources } from '../model/resources.js';
import { isUsable } from './availability.js';
import { hasCapacity, kindAllowed } from './task-requirements.js';
import type { FleetState } from '../fleet-state.js';
import type { JobState, Machine } from '../model/entities.js';
import { placementCost, spareCapacityCost } from './placement-cost.js';

/** A machine that had capacity for one more task of a job when the list was made. */
export interface Candidate {
  machine: Machine;
  type: MachineType;
  /** Cost of placing the task on the machine; Infinity if it has no capacity any more. */
  cost: number;
  /** The machine's `assignmentVersion` when the cost was computed. */
  assignmentVersion: number;
}

/** A machine that meets the requirements of a task, regardless of the task's image. */
interface CandidateMachine {
  machine: Machine;
  type: MachineType;
}

/**
 * Lists of candidates by requirements and image, each made on its first use in a round. Free capacity only
 * shrinks within a round, so a machine that is not in a list can't become a candidate later in the round.
 * The cost of a machine changes only with the tasks on it. Without the lists each waiting job would visit
 * every machine in every round. Holds and reservations may change within a round, so the functions that
 * choose machines check them.
 */
export class PlacementCandidates {
  private readonly byRequirementsAndImage = new Map<string, Candidate[]>();
  private readonly byRequirements = new Map<string, CandidateMachine[]>();

  constructor(
    private readonly fleet: FleetState,
    private readonly now: number,
  ) {}

  /** Returns the machines that had capacity for a task of the job when their list was made. */
  forJob(job: JobState): Candidate[] {
    const key = `${job.requirementsKey} ${job.spec.image} ${String(job.isBestEffort)}`;
    let candidates = this.byRequirementsAndImage.get(key);
    if (!candidates) {
      candidates = this.machinesWithCapacity(job).map(toCandidate);
      this.byRequirementsAndImage.set(key, candidates);
    }
    return candidates;
  }

  /** Returns the present cost of placing a task of the job on the candidate; Infinity if it has no capacity. */
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

  /** Whether any usable machine, reserved or not, meets the job's constraints and has capacity for `need`. */
  anyCapacityFor(job: Job, need: Readonly<Resources>): boolean {
    const { machines } = this.fleet;
    const candidates = machines.free.candidatesFor(need);
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
      for (const machine of machines.free.candidatesFor(spec)) {
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
