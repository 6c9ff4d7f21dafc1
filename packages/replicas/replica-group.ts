/** One replica group: its state machine, and what the leader keeps about the group besides that state. */
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
  /**
   * Why the newest generation ends, or why the previous one ended. Null if no generation ended since the group was last
   * whole. A change to `whole` still carries the reason.
   */
  reason: EndReason | null;
}

/** One replica group. Times are seconds of the monotonic clock. */
export class ReplicaGroup {
  state: GroupState;
  phase: GroupPhase = 'waiting';
  /** When the group entered its phase. */
  phaseSince: number;
  /** When a generation first had to end since the group was last whole; null if none had to. */
  incompleteSince: number | null = null;
  /** Cause of the latest end of a member with another cause than `stopped`; null if there was none. */
  lastLossCause: TaskEnd['cause'] | null = null;
  /** When the newest generation got its first place. */
  placedAt = 0;
  /** Starts that failed since the group was last whole. */
  failedStarts = 0;
  /** End of the backoff; the group gets no places before then. */
  backoffUntil = 0;

  constructor(
    readonly job: JobState,
    /** Index of the replica in its job, from 0. */
    readonly index: number,
    readonly members: number,
    now: number,
  ) {
    this.state = newGroup(members);
    this.phaseSince = now;
  }

  /** Applies an event. Returns the members to stop, and the change of phase or null. */
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

  /** The places of all members, of every generation. */
  *assignments(): Generator<Assignment> {
    const first = this.index * this.members;
    for (let index = first; index < first + this.members; index++) {
      yield* this.job.assignments.get(index) ?? [];
    }
  }
}
