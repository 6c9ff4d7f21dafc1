/** Rows of the endpoint `/replicas`. Operators' programs read its JSON, so the field names of a row must not change. */
import type { ReplicaGroup } from './replica-group.js';
import type { EndReason, GroupPhase } from './group-state-machine.js';
import type { ReplicaGroups } from './replica-groups.js';

const TENTHS_PER_SECOND = 10;

/** State of one replica. */
export interface ReplicaRow {
  job: string;
  class: string;
  replica: number;
  /** The newest generation; 0 if there was none. */
  generation: number;
  phase: GroupPhase;
  /** Seconds for which the replica has been in its phase. */
  forS: number;
  /** Why the newest generation ends, or the previous one ended; null if none ended since the replica was last whole. */
  why: EndReason | null;
  /** Names of the machines where the replica's members have places. */
  machines: string[];
}

/** Lists all replicas that have or had a place. Replicas that are not whole come first, then the longest in a phase. */
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
