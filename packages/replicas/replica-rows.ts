/** The rows of the endpoint `/replicas`, which operators' programs read: the names are part of its JSON. */
import type { ReplicaGroup } from './replica-group.js';
import type { EndReason, GroupPhase } from './group-state-machine.js';
import type { ReplicaGroups } from './replica-groups.js';

const TENTHS_PER_SECOND = 10;

/** One replica. */
export interface ReplicaRow {
  job: string;
  class: string;
  replica: number;
  /** 0 if none was begun. */
  generation: number;
  phase: GroupPhase;
  /** Seconds for which it has been in this phase. */
  forS: number;
  /** Why it is not whole, or null. */
  why: EndReason | null;
  /** Machines of its members. */
  machines: string[];
}

/** All replicas that have or had a place, those that are not whole first, then those longest in their phase. */
export function replicaRows(groups: ReplicaGroups, now: number): ReplicaRow[] {
  const rows = [...groups.groups()].map((group) => rowOf(group, now));
  const isWhole = ({ phase }: ReplicaRow) => Number(phase === 'whole');
  return rows.sort((a, b) => isWhole(a) - isWhole(b) || b.forS - a.forS);
}

function rowOf(group: ReplicaGroup, now: number): ReplicaRow {
  const { job, index, state, phase, phaseSince } = group;
  return {
    job: job.spec.id,
    class: job.spec.class,
    replica: index,
    generation: state.generation,
    phase,
    forS: roundToTenths(now - phaseSince),
    why: state.reason,
    machines: [...group.assignments()].map(({ machine }) => machine.name),
  };
}

function roundToTenths(seconds: number): number {
  return Math.round(seconds * TENTHS_PER_SECOND) / TENTHS_PER_SECOND;
}
