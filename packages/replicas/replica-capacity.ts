/** Capacity for the members of a replica that restarts: holds machines for them, and estimates their image fetch. */
import {
  type Assignment,
  chooseMachinesTogether,
  type FleetState,
  HOLD_HEARTBEATS,
  type JobState,
  type Machine,
  needsOneZone,
  PlacementCandidates,
} from '#core';
import type { ReplicaGroup } from './replica-group.js';

/** Holds capacity in a leader's fleet for replicas that restart. Times are seconds of the monotonic clock. */
export class ReplicaCapacity {
  constructor(
    private readonly fleet: FleetState,
    private readonly heartbeatIntervalS: number,
  ) {}

  /**
   * Holds capacity until the replica restarts: the machines of its survivors, which have the image already, and
   * capacity for its other members if the fleet has enough for all of them.
   */
  holdForRestart(group: ReplicaGroup, survivors: Assignment[], now: number): void {
    for (const { machine } of survivors) {
      if (machine.reclaimAt === null) this.hold(machine, group.job, now);
    }
    const lost = group.members - survivors.length;
    if (lost > 0) this.holdForMembers(group, lost, now);
  }

  /** Holds capacity for a number of members. Returns false, and holds nothing, if not all of them fit. */
  holdForMembers(group: ReplicaGroup, members: number, now: number): boolean {
    const { fleet } = this;
    const candidates = new PlacementCandidates(fleet, now);
    const request = { tasks: members, oneZone: needsOneZone(group.job) };
    const machines = chooseMachinesTogether(fleet, group.job, request, candidates, now);
    for (const machine of machines ?? []) this.hold(machine, group.job, now);
    return machines !== null;
  }

  private hold(machine: Machine, job: JobState, now: number): void {
    if (machine.capacityHold !== null) return;
    const until = now + HOLD_HEARTBEATS * this.heartbeatIntervalS;
    this.fleet.holds.hold(machine, job, until);
  }

  /** Nominal seconds of the slowest fetch of the replica's image among the machines of its members. */
  slowestFetchS(group: ReplicaGroup): number {
    const { machines } = this.fleet;
    let slowestS = 0;
    for (const { machine } of group.assignments()) {
      const rate = machines.typeOf(machine)?.fetchGbPerS;
      if (rate !== undefined) slowestS = Math.max(slowestS, group.job.spec.imageGb / rate);
    }
    return slowestS;
  }
}
