/** Selects the tasks whose preemption loses the least work. */
import { firmUse } from '../fair-share/best-effort.js';
import type { FleetState } from '../fleet-state.js';
import { addResources } from '../model/resources.js';
import type { Assignment, JobState, Machine } from '../model/entities.js';
import { membersOf, needsOneZone } from '../model/replica-groups.js';
import { isLeaving } from '../placement/availability.js';
import {
  hasCapacity,
  kindAllowed,
  tasksByZone,
  zoneAllowed,
} from '../placement/task-requirements.js';
import { chooseMachinesTogether } from '../placement/choose-machines-together.js';
import { PlacementCandidates } from '../placement/placement-candidates.js';
import { preemptionCost } from './preemption-cost.js';
import type { PreemptionRules } from './preemption-rules.js';

/** Tasks to be preempted on one machine. */
export interface Victims {
  machine: Machine;
  assignments: Assignment[];
  /** Work that is lost by preempting these tasks, in accelerator seconds. */
  cost: number;
}

/** Selects victims for a waiting job. It does not stop them. */
export class VictimSelector {
  constructor(
    private readonly fleet: FleetState,
    private readonly rules: PreemptionRules,
  ) {}

  /**
   * Selects the victims on one machine for a task of the job. For a replica, it selects one machine for each member
   * beyond those that fit into free capacity or on the `held` machines on which capacity is held for the job. Machines
   * in `stopping` are left out. Null if there are no victims for some member.
   */
  select(
    job: JobState,
    held: number,
    stopping: ReadonlySet<Machine>,
    now: number,
  ): Victims[] | null {
    const excluded = new Set(stopping);
    const selected: Victims[] = [];
    const freeMachines = this.freeMachinesForMembers(job, now);
    const sameZone = job.replicas?.sameZone ?? false;
    let zone = sameZone ? (freeMachines.at(0)?.zone ?? null) : null;
    const missing = membersOf(job) - held - freeMachines.length;
    for (let remaining = Math.max(1, missing); remaining > 0; remaining--) {
      const victims = this.cheapestVictims(job, excluded, zone, now);
      if (victims === null) return null;
      if (sameZone) zone = victims.machine.zone;
      excluded.add(victims.machine);
      selected.push(victims);
    }
    return selected;
  }

  /** Machines with free capacity for as many members of a replica as possible; empty if the job has no replicas. */
  private freeMachinesForMembers(job: JobState, now: number): Machine[] {
    if (job.replicas === null) return [];
    const candidates = new PlacementCandidates(this.fleet, now);
    for (let tasks = job.replicas.members - 1; tasks > 0; tasks--) {
      const request = { tasks, oneZone: needsOneZone(job) };
      const machines = chooseMachinesTogether(this.fleet, job, request, candidates, now);
      if (machines !== null) return machines;
    }
    return [];
  }

  /** The victims of lowest cost for one task of the job, in `zone` unless that is null. Null if there are none. */
  private cheapestVictims(
    job: JobState,
    excluded: ReadonlySet<Machine>,
    zone: string | null,
    now: number,
  ): Victims | null {
    const zones = tasksByZone(job);
    let best: Victims | null = null;
    for (const machine of this.fleet.machines.values()) {
      if (machine.state !== 'up' || isLeaving(machine)) continue;
      if (zone !== null && machine.zone !== zone) continue;
      if (excluded.has(machine) || this.fleet.holds.isHeldForOther(machine, job, now)) continue;
      if (machine.reservedForGang !== null || !zoneAllowed(job.spec, machine.zone, zones)) continue;
      if (this.fleet.failures.isExcluded(job, machine, now)) continue;
      const assignments = this.victimsOn(machine, job, now);
      if (assignments === null) continue;
      const cost = preemptionCost(assignments, now);
      if (best === null || cost < best.cost) best = { machine, assignments, cost };
    }
    return best;
  }

  /** The tasks to stop on the machine for one task of the job; null if stopping tasks cannot free enough capacity. */
  private victimsOn(machine: Machine, job: JobState, now: number): Assignment[] | null {
    const type = this.fleet.machines.typeOf(machine);
    if (!type || !kindAllowed(job.spec, type, machine.zone, machine.spot)) return null;
    // If only best-effort tasks may be stopped, all other tasks must leave enough capacity.
    const onlyBestEffort = !this.rules.mayPreemptFirmWork(job, now);
    if (onlyBestEffort && !hasCapacity(job.spec, firmUse(machine), type)) return null;
    const preemptible = this.preemptibleTasks(machine, job, now);
    if (preemptible.length === 0) return null;
    const victims: Assignment[] = [];
    const used = { ...machine.used };
    for (const assignment of preemptible) {
      if (hasCapacity(job.spec, used, type)) break;
      addResources(used, assignment.job.spec, -1);
      victims.push(assignment);
    }
    return victims.length > 0 && hasCapacity(job.spec, used, type) ? victims : null;
  }

  /** The machine's tasks that the job may preempt, least urgent rank first, then newest first. */
  private preemptibleTasks(machine: Machine, job: JobState, now: number): Assignment[] {
    return [...machine.tasks.values()]
      .filter((each) => each.stop === null && this.rules.mayPreempt(job, each, now))
      .sort((a, b) => b.job.rank - a.job.rank || b.assignedAt - a.assignedAt);
  }
}
