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
  readonly id: string;
  /** Ids of all dependencies, without duplicates. Those that are not done have a node. */
  dependencies: readonly string[];
  /** Number of dependencies that are not done. */
  openDependencyCount: number;
  /** Jobs that depend directly on this job, each once. May contain jobs that have ended. */
  dependents: Node[];
  /** Number of ended jobs in `dependents`. */
  endedDependentCount: number;
  hasEnded: boolean;
  /** The job's own urgency combined with that of all its dependents, direct or indirect. */
  urgency: Urgency;
}

const NOT_URGENT: Urgency = { rank: Infinity, dueAtMs: Infinity };
/** Ended jobs are removed from a list of dependents when they are more than this share of it. */
const MAX_ENDED_SHARE = 1 / 2;

/**
 * The graph of open jobs that have dependencies or dependents. Other jobs have no node and use no memory. A dependency
 * takes an entry in an array, since every controller keeps all of them and a job may have hundreds.
 */
export class DependencyGraph {
  private readonly nodes = new Map<string, Node>();

  constructor(private readonly jobs: KnownJobs) {}

  /** Whether the job has dependencies that are not done. */
  hasOpenDependencies(id: string): boolean {
    return (this.nodes.get(id)?.openDependencyCount ?? 0) > 0;
  }

  /** Ids of the job's dependencies that are not done. */
  openDependencies(id: string): string[] {
    const dependencies = this.nodes.get(id)?.dependencies ?? [];
    return dependencies.filter((dependency) => this.nodes.has(dependency));
  }

  /** The instance of the id that the graph keeps, if it has a node, so that its users need not keep another. */
  sharedId(id: string): string {
    return this.nodes.get(id)?.id ?? id;
  }

  /** The job's own urgency combined with that of all its dependents, direct or indirect. */
  urgencyOf(id: string): Urgency {
    return this.nodes.get(id)?.urgency ?? this.jobs.urgencyOf(id) ?? NOT_URGENT;
  }

  /**
   * Records that an open job was accepted, once for each job. `KnownJobs` must already contain the job. The list of its
   * dependencies is kept; it must have no duplicates. If one of the dependencies is cancelled, the first change
   * returned is that the job is cancelled as well.
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
    node.dependencies = dependencies;
    node.openDependencyCount = open.length;
    for (const dependency of open) this.getOrAdd(dependency).dependents.push(node);
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
    for (const dependent of openDependentsOf(node)) {
      dependent.openDependencyCount--;
      if (dependent.openDependencyCount > 0) continue;
      changes.push({ kind: 'startable', job: dependent.id });
      this.dropIfUnlinked(dependent);
    }
    return changes;
  }

  /** Cancels all dependents of the job, direct or indirect. */
  private recordCancelled(cancelled: Node): DependencyChange[] {
    const removed = new Set([cancelled]);
    // Iterating over a set also visits the elements that are added meanwhile.
    for (const node of removed) for (const each of openDependentsOf(node)) removed.add(each);
    const remaining = new Set<Node>();
    for (const node of removed) {
      for (const dependency of this.openDependenciesOf(node)) {
        if (!removed.has(dependency)) remaining.add(dependency);
      }
      this.remove(node);
    }
    removed.delete(cancelled);
    const changes = [...removed].map(({ id }) => ({ kind: 'cancelled', job: id }) as const);
    return [...changes, ...this.recomputeUrgency(remaining)];
  }

  private getOrAdd(id: string): Node {
    return this.nodes.get(id) ?? this.add(id);
  }

  private add(id: string): Node {
    const node: Node = {
      id,
      dependencies: [],
      openDependencyCount: 0,
      dependents: [],
      endedDependentCount: 0,
      hasEnded: false,
      urgency: this.jobs.urgencyOf(id) ?? NOT_URGENT,
    };
    this.nodes.set(id, node);
    return node;
  }

  private openDependenciesOf({ dependencies }: Node): Node[] {
    const nodes = dependencies.map((dependency) => this.nodes.get(dependency));
    return nodes.filter((node) => node !== undefined);
  }

  private remove(node: Node): void {
    this.nodes.delete(node.id);
    node.hasEnded = true;
    for (const dependency of this.openDependenciesOf(node)) {
      dependency.endedDependentCount++;
      forgetEndedDependents(dependency);
      this.dropIfUnlinked(dependency);
    }
  }

  private dropIfUnlinked(node: Node): void {
    const isUnlinked =
      node.openDependencyCount === 0 && node.dependents.length === node.endedDependentCount;
    if (isUnlinked) this.nodes.delete(node.id);
  }

  /** Makes all dependencies of the job, direct or indirect, at least as urgent as the job. */
  private raiseDependencies(start: Node): DependencyChange[] {
    const raised = new Set<Node>();
    const stack = [start];
    for (let node = stack.pop(); node !== undefined; node = stack.pop()) {
      for (const dependency of this.openDependenciesOf(node)) {
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
      for (const dependent of openDependentsOf(node)) {
        urgency = combineUrgency(urgency, dependent.urgency);
      }
      if (isSameUrgency(urgency, node.urgency)) continue;
      node.urgency = urgency;
      changed.add(node);
      stack.push(...this.openDependenciesOf(node));
    }
    return [...changed].map(urgencyChange);
  }
}

function openDependentsOf({ dependents }: Node): Node[] {
  return dependents.filter(({ hasEnded }) => !hasEnded);
}

/** Removes ended jobs from the list of dependents once there are many, so that each removal costs little. */
function forgetEndedDependents(node: Node): void {
  const { dependents, endedDependentCount } = node;
  if (endedDependentCount <= MAX_ENDED_SHARE * dependents.length) return;
  node.dependents = openDependentsOf(node);
  node.endedDependentCount = 0;
}

function urgencyChange({ id, urgency }: Node): DependencyChange {
  return { kind: 'urgency', job: id, urgency };
}
