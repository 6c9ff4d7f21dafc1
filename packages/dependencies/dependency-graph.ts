/**
 * Jobs that await others. Whether a job may start, is cancelled and how urgent it is follows from the durable
 * records of the jobs that it needs and of those that need it, whatever the order in which they are read.
 */
import { isSameUrgency, mostUrgent, type Urgency } from './urgency.js';

/** How a job ended. */
export type Outcome = 'done' | 'cancelled';

/** What the graph asks about jobs that were accepted. */
export interface KnownJobs {
  /** Null while the job is open or not known. */
  outcomeOf(id: string): Outcome | null;
  /** The job's own urgency; null while it is not known. */
  urgencyOf(id: string): Urgency | null;
}

/** What follows for one job from what happened to another. */
export type DependencyChange =
  /** All that it awaits is done. */
  | { kind: 'startable'; job: string }
  /** A job that it needs is cancelled, and so is it. */
  | { kind: 'cancelled'; job: string }
  /** Jobs that need it have come or gone. */
  | { kind: 'urgency'; job: string; urgency: Urgency };

/** A job that awaits others or that others await. */
interface Node {
  id: string;
  /** What it awaits and what is not over. */
  readonly awaits: Set<Node>;
  /** Open jobs that await it. */
  readonly dependents: Set<Node>;
  /** Of itself and of all that need it. */
  urgency: Urgency;
}

const NOT_URGENT: Urgency = { rank: Infinity, dueAtMs: Infinity };

/** The open jobs that await others or that others await. */
export class DependencyGraph {
  private readonly nodes = new Map<string, Node>();

  constructor(private readonly jobs: KnownJobs) {}

  /** Whether the job awaits others that are not done. */
  isWaiting(id: string): boolean {
    return (this.nodes.get(id)?.awaits.size ?? 0) > 0;
  }

  /** What the job awaits and what is not done. */
  awaitedBy(id: string): string[] {
    return [...(this.nodes.get(id)?.awaits ?? [])].map((awaited) => awaited.id);
  }

  /** How urgent the job is by itself and by all that need it. */
  urgencyOf(id: string): Urgency {
    return this.nodes.get(id)?.urgency ?? this.jobs.urgencyOf(id) ?? NOT_URGENT;
  }

  /**
   * An open job became known, and `KnownJobs` knows it. If a job that it needs is cancelled, the first change says
   * that it is, too.
   */
  accepted(id: string, awaits: readonly string[]): DependencyChange[] {
    if (awaits.some((awaited) => this.jobs.outcomeOf(awaited) === 'cancelled')) {
      return [{ kind: 'cancelled', job: id }, ...this.ended(id, 'cancelled')];
    }
    const open = awaits.filter((awaited) => this.jobs.outcomeOf(awaited) === null);
    const known = this.nodes.get(id);
    if (known === undefined && open.length === 0) return [];
    const node = known ?? this.add(id);
    // Jobs that need it may have become known before it.
    node.urgency = mostUrgent(node.urgency, this.jobs.urgencyOf(id) ?? NOT_URGENT);
    for (const awaited of open) this.link(node, awaited);
    return this.raise(node);
  }

  /** A job is over, and `KnownJobs` knows how it ended. */
  ended(id: string, outcome: Outcome): DependencyChange[] {
    const node = this.nodes.get(id);
    if (node === undefined) return [];
    return outcome === 'done' ? this.done(node) : this.cancelled(node);
  }

  private done(node: Node): DependencyChange[] {
    this.remove(node);
    const changes: DependencyChange[] = [];
    for (const dependent of node.dependents) {
      dependent.awaits.delete(node);
      if (dependent.awaits.size > 0) continue;
      changes.push({ kind: 'startable', job: dependent.id });
      this.dropIfAlone(dependent);
    }
    return changes;
  }

  /** With all that need it, directly or through others. */
  private cancelled(first: Node): DependencyChange[] {
    const removed = new Set([first]);
    // What is added while the set is gone through is gone through as well.
    for (const node of removed) for (const dependent of node.dependents) removed.add(dependent);
    const needed = new Set<Node>();
    for (const node of removed) {
      for (const awaited of node.awaits) if (!removed.has(awaited)) needed.add(awaited);
      this.remove(node);
    }
    removed.delete(first);
    const changes = [...removed].map(({ id }) => ({ kind: 'cancelled', job: id }) as const);
    return [...changes, ...this.recompute(needed)];
  }

  private add(id: string): Node {
    const urgency = this.jobs.urgencyOf(id) ?? NOT_URGENT;
    const node: Node = { id, awaits: new Set(), dependents: new Set(), urgency };
    this.nodes.set(id, node);
    return node;
  }

  private link(node: Node, awaited: string): void {
    const needed = this.nodes.get(awaited) ?? this.add(awaited);
    node.awaits.add(needed);
    needed.dependents.add(node);
  }

  private remove(node: Node): void {
    this.nodes.delete(node.id);
    for (const awaited of node.awaits) {
      awaited.dependents.delete(node);
      this.dropIfAlone(awaited);
    }
  }

  private dropIfAlone({ id, awaits, dependents }: Node): void {
    if (awaits.size === 0 && dependents.size === 0) this.nodes.delete(id);
  }

  /** Makes all that the job needs at least as urgent as it is. */
  private raise(first: Node): DependencyChange[] {
    const raised = new Set<Node>();
    const open = [first];
    for (let node = open.pop(); node !== undefined; node = open.pop()) {
      for (const awaited of node.awaits) {
        const urgency = mostUrgent(awaited.urgency, node.urgency);
        if (isSameUrgency(urgency, awaited.urgency)) continue;
        awaited.urgency = urgency;
        raised.add(awaited);
        open.push(awaited);
      }
    }
    return [...raised].map(urgencyChange);
  }

  /** Finds out anew how urgent these jobs are, and all that they need. */
  private recompute(first: Iterable<Node>): DependencyChange[] {
    const changed = new Set<Node>();
    const open = [...first];
    for (let node = open.pop(); node !== undefined; node = open.pop()) {
      let urgency = this.jobs.urgencyOf(node.id) ?? NOT_URGENT;
      for (const dependent of node.dependents) urgency = mostUrgent(urgency, dependent.urgency);
      if (isSameUrgency(urgency, node.urgency)) continue;
      node.urgency = urgency;
      changed.add(node);
      open.push(...node.awaits);
    }
    return [...changed].map(urgencyChange);
  }
}

function urgencyChange({ id, urgency }: Node): DependencyChange {
  return { kind: 'urgency', job: id, urgency };
}
