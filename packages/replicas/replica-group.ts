/** One replica group: its state machine, and what the leader remembers of it beside that. */
import type { Assignment, JobState, TaskEnd } from '#core';
import {
  type EndReason,
  type GroupEvent,
  type GroupPhase,
  type GroupState,
  type MemberRef,
  newGroup,
  phaseOf,
  step,
} from './group-state-machine.js';

/** A change of a group's phase. */
export interface PhaseChange {
  group: ReplicaGroup;
  from: GroupPhase;
  to: GroupPhase;
  /** Why the previous generation ended; null if the group has been whole since, or no generation was begun. */
  reason: EndReason | null;
}

/** One replica group. Times are steady seconds. */
export class ReplicaGroup {
  state: GroupState;
  phase: GroupPhase = 'waiting';
  /** Since when it is in this phase. */
  phaseSince: number;
  /** When a generation of it first ended since it was last whole; null if none did. */
  incompleteSince: number | null = null;
  /** How the member that was lost last ended. */
  lostBy: TaskEnd['cause'] | null = null;
  /** When the current generation got its places. */
  placedAt = 0;
  /** Starts that failed since it was last whole. */
  failedStarts = 0;
  /** End of its backoff: it gets no places before. */
  backoffUntil = 0;

  constructor(
    readonly job: JobState,
    /** Number of the replica in its job, from 0. */
    readonly index: number,
    readonly members: number,
    now: number,
  ) {
    this.state = newGroup(members);
    this.phaseSince = now;
  }

  /** Applies an event; returns the members to be stopped, and the change of phase or null. */
  apply(event: GroupEvent, now: number): { stop: MemberRef[]; change: PhaseChange | null } {
    const { reason } = this.state;
    const { state, stop } = step(this.state, event);
    this.state = state;
    const from = this.phase;
    const to = phaseOf(state);
    if (from === to) return { stop, change: null };
    this.phase = to;
    this.phaseSince = now;
    return { stop, change: { group: this, from, to, reason: state.reason ?? reason } };
  }

  /** The places of its members, whatever their generation. */
  *assignments(): Generator<Assignment> {
    const first = this.index * this.members;
    for (let index = first; index < first + this.members; index++) {
      yield* this.job.assignments.get(index) ?? [];
    }
  }
}
