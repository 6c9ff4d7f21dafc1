/**
 * The DAG of jobs and their dependencies. Whether a job may start or is cancelled, and how urgent it is, follows from
 * the durable records of its dependencies and dependents, whatever the order in which they are read.
 */
import { isSameUrgency, combineUrgency, type Urgency } from './urgency.js';

/** How a job ended. */
export type Outcome = 'done' | 'cancelled';

/** What the graph asks about accepted jobs. */
export interface KnownJobs {
  /** Null while the job is open or not known. */
  outcomeOf(id: string): Outcome | null;
  /** The job's own urgency; null while it is not known. */
  urgencyOf(id: string): Urgency | null;
}

/** What follows for one job from what happened to another. */
export type DependencyChange =
  /** All its dependencies are done. */
  | { kind: 'startable'; job: string }
  /** One of its dependencies, direct or not, is cancelled, and so is it. */
  | { kind: 'cancelled'; job: string }
  /** Its own dependents, direct or not, have come or gone. */
  | { kind: 'urgency'; job: string; urgency: Urgency };

/** An open job that has dependencies or dependents. */
interface Node {
  id: string;
  readonly openDependencies: Set<Node>;
  /** Open jobs that depend on it. */
  readonly dependents: Set<Node>;
  /** The most urgent of its own and of those of all its dependents, direct or not. */
  urgency: Urgency;
}

const NOT_URGENT: Urgency = { rank: Infinity, dueAtMs: Infinity };

/** The open jobs that have dependencies or dependents; others cost nothing. */
export class DependencyGraph {
  private readonly nodes = new Map<string, Node>();

  constructor(private readonly jobs: KnownJobs) {}

  /** Whether the job has dependencies that are not done. */
  hasOpenDependencies(id: string): boolean {
    return (this.nodes.get(id)?.openDependencies.size ?? 0) > 0;
  }

  /** Ids of the job's dependencies that are not done. */
  openDependencies(id: string): string[] {
    return [...(this.nodes.get(id)?.openDependencies ?? [])].map((dependency) => dependency.id);
  }

  /** How urgent the job is, by itself and by all its dependents, direct or not. */
  urgencyOf(id: string): Urgency {
    return this.nodes.get(id)?.urgency ?? this.jobs.urgencyOf(id) ?? NOT_URGENT;
  }

  /**
   * Records an open job, which `KnownJobs` knows already. If one of its dependencies is cancelled, the first change
   * says that it is, too.
   */
  recordAccepted(id: string, dependencies: readonly string[]): DependencyChange[] {
    if (dependencies.some((dependency) => this.jobs.outcomeOf(dependency) === 'cancelled')) {
      return [{ kind: 'cancelled', job: id }, ...this.recordEnded(id, 'cancelled')];
    }
    const open = dependencies.filter((dependency) => this.jobs.outcomeOf(dependency) === null);
    const known = this.nodes.get(id);
    if (known === undefined && open.length === 0) return [];
    const node = known ?? this.add(id);
    // Its dependents may have become known before it.
    node.urgency = combineUrgency(node.urgency, this.jobs.urgencyOf(id) ?? NOT_URGENT);
    for (const dependency of open) this.link(node, dependency);
    return this.raiseDependencies(node);
  }

  /** Records that a job is over; `KnownJobs` knows how it ended already. */
  recordEnded(id: string, outcome: Outcome): DependencyChange[] {
    const node = this.nodes.get(id);
    if (node === undefined) return [];
    return outcome === 'done' ? this.recordDone(node) : this.recordCancelled(node);
  }

  private recordDone(node: Node): DependencyChange[] {
    this.remove(node);
    const changes: DependencyChange[] = [];
    for (const dependent of node.dependents) {
      dependent.openDependencies.delete(node);
      if (dependent.openDependencies.size > 0) continue;
      changes.push({ kind: 'startable', job: dependent.id });
      this.dropIfUnlinked(dependent);
    }
    return changes;
  }

  /** Cancels all its dependents, direct or not. */
  private recordCancelled(cancelled: Node): DependencyChange[] {
    const removed = new Set([cancelled]);
    // A set that grows while it is iterated yields what was added, too.
    for (const node of removed) for (const dependent of node.dependents) removed.add(dependent);
    const remaining = new Set<Node>();
    for (const node of removed) {
      for (const dependency of node.openDependencies) {
        if (!removed.has(dependency)) remaining.add(dependency);
      }
      this.remove(node);
    }
    removed.delete(cancelled);
    const changes = [...removed].map(({ id }) => ({ kind: 'cancelled', job: id }) as const);
    return [...changes, ...this.recomputeUrgency(remaining)];
  }

  private add(id: string): Node {
    const urgency = this.jobs.urgencyOf(id) ?? NOT_URGENT;
    const node: Node = { id, openDependencies: new Set(), dependents: new Set(), urgency };
    this.nodes.set(id, node);
    return node;
  }

  private link(node: Node, dependencyId: string): void {
    const dependency = this.nodes.get(dependencyId) ?? this.add(dependencyId);
    node.openDependencies.add(dependency);
    dependency.dependents.add(node);
  }

  private remove(node: Node): void {
    this.nodes.delete(node.id);
    for (const dependency of node.openDependencies) {
      dependency.dependents.delete(node);
      this.dropIfUnlinked(dependency);
    }
  }

  private dropIfUnlinked({ id, openDependencies, dependents }: Node): void {
    if (openDependencies.size === 0 && dependents.size === 0) this.nodes.delete(id);
  }

  /** Makes all dependencies of the job, direct or not, at least as urgent as it is. */
  private raiseDependencies(start: Node): DependencyChange[] {
    const raised = new Set<Node>();
    const stack = [start];
    for (let node = stack.pop(); node !== undefined; node = stack.pop()) {
      for (const dependency of node.openDependencies) {
        const urgency = combineUrgency(dependency.urgency, node.urgency);
        if (isSameUrgency(urgency, dependency.urgency)) continue;
        dependency.urgency = urgency;
        raised.add(dependency);
        stack.push(dependency);
      }
    }
    return [...raised].map(urgencyChange);
  }

  /** Computes again how urgent these jobs and all their dependencies, direct or not, are. */
  private recomputeUrgency(start: Iterable<Node>): DependencyChange[] {
    const changed = new Set<Node>();
    const stack = [...start];
    for (let node = stack.pop(); node !== undefined; node = stack.pop()) {
      let urgency = this.jobs.urgencyOf(node.id) ?? NOT_URGENT;
      for (const dependent of node.dependents) urgency = combineUrgency(urgency, dependent.urgency);
      if (isSameUrgency(urgency, node.urgency)) continue;
      node.urgency = urgency;
      changed.add(node);
      stack.push(...node.openDependencies);
    }
    return [...changed].map(urgencyChange);
  }
}

function urgencyChange({ id, urgency }: Node): DependencyChange {
  return { kind: 'urgency', job: id, urgency };
}
