/** The rules of the protocol, and the log of their violations. */
import { taskName, type TaskRef } from '#wire';

/** The rules of the protocol, and other events that the operators count. */
export type Rule =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'nothing_ran'
  | 'too_early'
  | 'orphaned'
  /** A job waits although there is capacity for it. */
  | 'unserved'
  /** A job that can run was refused permanently. */
  | 'refused_fit'
  /** A job was accepted that cannot run or lacks a field. */
  | 'accepted_unfit'
  /** A task started within `cancel_s` after the cancellation of its job was confirmed to its user. */
  | 'started_after_cancel';

/** Events that are only counted: they break no rule. */
const COUNTED_ONLY: ReadonlySet<Rule> = new Set(['started_after_cancel']);

/** A violation of a rule, or an event that is only counted. */
export interface Violation {
  rule: Rule;
  /** Seconds of the checker's clock. */
  atS: number;
  job: string | null;
  task: string | null;
  machines: string[];
  /** One-line description of the violation or counted event. */
  explanation: string;
}

/** What a check reports about a violation; the log adds the time. */
export interface Finding {
  rule: Rule;
  explanation: string;
  /** Null if the violation concerns no single job. */
  job: string | null;
  task?: TaskRef;
  machines?: string[];
}

/** Whether the violation breaks a rule; false for events that are only counted. */
export function breaksRule({ rule }: Violation): boolean {
  return !COUNTED_ONLY.has(rule);
}

/** Formats a violation with all its fields in one line. */
export function describeViolation(violation: Violation): string {
  const { rule, atS, job, task, machines, explanation } = violation;
  const subject = task ?? job ?? 'the whole run';
  const where = machines.length > 0 ? ` on ${machines.join(', ')}` : '';
  return `${atS.toFixed(3)} s ${rule}: ${subject}${where}: ${explanation}`;
}

/** Collects violations, of each rule only the first about the same task or job. */
export class ViolationLog {
  readonly all: Violation[] = [];
  private readonly recordedKeys = new Set<string>();

  constructor(private readonly now: () => number) {}

  add({ rule, explanation, job, task, machines = [] }: Finding): void {
    const name = task ? taskName(task.job, task.index) : null;
    const key = [rule, name ?? job].join(' ');
    if (this.recordedKeys.has(key)) return;
    this.recordedKeys.add(key);
    this.all.push({ rule, atS: this.now(), job, task: name, machines, explanation });
  }
}
