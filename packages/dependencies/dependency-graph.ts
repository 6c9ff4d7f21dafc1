/**
 * The DAG of jobs and their dependencies. Whether a job may start or is cancelled, and how urgent it is, depends only
 * on the durable records of its dependencies and dependents, not on the order in which these are read.
 */
import { isSameUrgency, combineUrgency, type Urgency } from './urgency.js';

/** How a job ended. */
export type Outcome = 'done' | 'cancelled';

/** Looks up accepted jobs for the graph. */
export interface KnownJobs {
  /** How the job ended; null while it is open or not known. */
  outcomeOf(id: string): Outcome | null;
  /** The job's own urgency; null while it is not known. */
  urgencyOf(id: string): Urgency | null;
}

/** A change of one job that results from the acceptance or the end of another. */
export type DependencyChange =
  /** All dependencies of the job are done. */
  | { kind: 'startable'; job: string }
  /** The job is cancelled because one of its dependencies, direct or indirect, is cancelled. */
  | { kind: 'cancelled'; job: string }
  /** The job's urgency has changed because dependents, direct or indirect, were added or have ended. */
  | { kind: 'urgency'; job: string; urgency: Urgency };

/** An open job that has dependencies or dependents. */
interface Node {
  id: string;
  readonly openDependencies: Set<Node>;
  /** Open jobs that depend directly on this job. */
  readonly dependents: Set<Node>;
  /** The job's own urgency combined with that of all its dependents, direct or indirect. */
  urgency: Urgency;
}

const NOT_URGENT: Urgency = { rank: Infinity, dueAtMs: Infinity };

/** The graph of open jobs that have dependencies or dependents. Other jobs have no node and use no memory. */
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

  /** The job's own urgency combined with that of all its dependents, direct or indirect. */
  urgencyOf(id: string): Urgency {
    return this.nodes.get(id)?.urgency ?? this.jobs.urgencyOf(id) ?? NOT_URGENT;
  }

  /**
   * Records that an open job was accepted. `KnownJobs` must already contain the job. If one of its dependencies is
   * cancelled, the first change returned is that the job is cancelled as well.
   */
  recordAccepted(id: string, dependencies: readonly string[]): DependencyChange[] {
    if (dependencies.some((dependency) => this.jobs.outcomeOf(dependency) === 'cancelled')) {
      return [{ kind: 'cancelled', job: id }, ...this.recordEnded(id, 'cancelled')];
    }
    const open = dependencies.filter((dependency) => this.jobs.outcomeOf(dependency) === null);
    const known = this.nodes.get(id);
    if (known === undefined && open.length === 0) return [];
    const node = known ?? this.add(id);
    // Dependents of the job may have been recorded before the job itself.
    node.urgency = combineUrgency(node.urgency, this.jobs.urgencyOf(id) ?? NOT_URGENT);
    for (const dependency of open) this.link(node, dependency);
    return this.raiseDependencies(node);
  }

  /** Records that a job has ended. `KnownJobs` must already return the outcome. */
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

  /** Cancels all dependents of the job, direct or indirect. */
  private recordCancelled(cancelled: Node): DependencyChange[] {
    const removed = new Set([cancelled]);
    // Iterating over a set also visits the elements that are added meanwhile.
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

  /** Makes all dependencies of the job, direct or indirect, at least as urgent as the job. */
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

  /** Recomputes the urgency of these jobs and of all their dependencies, direct or indirect. */
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
