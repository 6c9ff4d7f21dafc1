import { Condition, Runtime, sleep } from '#wire';
import type { Assignment, FleetState, JobState, Machine } from '#core';
import {
  encodeJob,
  jobKey,
  JOBS,
  MACHINES,
  MachineRecord,
  partKey,
  progressChunkTasks,
  progressKey,
  StateClient,
  Term,
} from '#store';
import type { JobTable } from './jobs.js';
import type { Log } from './log.js';
import { RecordBatch, type RecordChange } from './record-batch.js';

/** Before a transaction is sent again: at least so long, and up to so much longer. */
const RETRY_MS = 100;
const RETRY_SPREAD_MS = 200;

/** Our own records are not as this term left them: the term must not be used further. */
export class TermBroken extends Error {}

export interface RecorderOptions {
  runtime: Runtime;
  client: StateClient;
  book: FleetState;
  jobs: JobTable;
  term: Term;
  log: Log;
}

/**
 * Makes the book's changes durable, one transaction at a time, each on the condition of the part's
 * term and of every record's version. A transaction whose outcome is unknown is sent again as it
 * was until the answer is definite.
 */
export class Recorder {
  private readonly versions = new Map<string, number>();
  private readonly chunkTasks: number;

  private readonly client: StateClient;
  private readonly book: FleetState;
  private readonly jobs: JobTable;
  private readonly term: Term;
  private readonly log: Log;

  constructor(private readonly options: RecorderOptions) {
    ({ client: this.client, book: this.book, jobs: this.jobs } = options);
    ({ term: this.term, log: this.log } = options);
    this.chunkTasks = progressChunkTasks(this.client.limits.valueBytes);
  }

  loaded(key: string, version: number): void {
    this.versions.set(key, version);
  }

  loadProgress(job: JobState, chunk: number, text: string): void {
    job.done.addChunk(chunk, this.chunkTasks, text);
  }

  get pending(): boolean {
    return this.book.unrecorded.any;
  }

  /** Writes as much as one transaction takes. */
  async flush(signal: AbortSignal): Promise<void> {
    const batch = this.collect();
    if (batch.changes.length === 0) return;
    for (;;) {
      try {
        await this.send(batch, signal);
        return;
      } catch (err) {
        if (err instanceof TermBroken || signal.aborted) throw err;
        const { runtime } = this.options;
        await sleep(runtime.clock, RETRY_MS + runtime.random() * RETRY_SPREAD_MS, signal);
      }
    }
  }

  private async send(batch: RecordBatch, signal: AbortSignal): Promise<void> {
    const changes = batch.changes.map(({ change }) => change);
    const out = await this.client.txn(batch.allConditions(), changes, false, signal);
    if (out.ok) {
      for (const change of batch.changes) change.durable(out.revision);
      return;
    }
    if (!('failed' in out)) throw new TermBroken('no such grant');
    if (out.failed.includes(partKey(this.term.part))) throw new TermBroken('term is over');
    await this.settle(batch, out.failed, signal);
  }

  /** A record differs: an earlier send of the same was applied, or a user's abort came between. */
  private async settle(batch: RecordBatch, failed: string[], signal: AbortSignal): Promise<void> {
    // First of all, so that nothing of a cancelled job is begun, whatever else was applied.
    if (failed.some((key) => key.startsWith(JOBS))) {
      this.log.debug({ failed }, 'aborted before its tasks or its end were recorded');
      await this.jobs.cache.sync();
    }
    for (const key of failed) {
      const item = batch.changes.find((candidate) => candidate.key === key);
      if (!item && key.startsWith(JOBS)) continue;
      if (!item) throw new TermBroken(`unexpected condition ${key}`);
      const now = await this.client.call(true, signal, (api) => api.get(key, signal));
      const wanted = 'put' in item.change ? item.change.value : undefined;
      if (now ? same(now.value, wanted) : wanted === undefined) {
        // All or nothing: the whole transaction was applied.
        const revision = now?.version ?? 0;
        for (const each of batch.changes) each.durable(revision);
        return;
      }
      if (!key.startsWith(JOBS)) throw new TermBroken(`record ${key} changed under this term`);
    }
    for (const item of batch.changes) item.again();
  }

  private collect(): RecordBatch {
    const batch = new RecordBatch(this.term, this.client.limits);
    for (const name of [...this.book.unrecorded.machines]) {
      const change = this.machineChange(name);
      if (change && !batch.add(change)) break;
      this.book.unrecorded.machines.delete(name);
    }
    for (const id of [...this.book.unrecorded.jobs]) {
      const job = this.book.jobs.get(id);
      const changes = job?.phase === 'accepted' ? this.jobChanges(job) : [];
      const { txnOps } = this.client.limits;
      if (batch.changes.length > 0 && batch.changes.length + changes.length > txnOps) break;
      if (!changes.every((change) => batch.add(change))) break;
      this.book.unrecorded.jobs.delete(id);
    }
    return batch;
  }

  private machineChange(name: string): RecordChange | null {
    const key = MACHINES + name;
    const version = this.versions.get(key) ?? 0;
    const machine = this.book.machines.get(name);
    const again = () => void this.book.unrecorded.machines.add(name);
    if (!machine) {
      if (version === 0) return null;
      const durable = () => void this.versions.delete(key);
      return { key, version, change: { delete: key }, guards: [], durable, again };
    }
    if (machine.tasks.size === 0 && version === 0) return null;
    const { assignments, guards, complete } = this.nameable(machine);
    const durable = (revision: number) => {
      this.versions.set(key, revision);
      for (const assignment of assignments) assignment.recorded = true;
      this.book.fencing.recorded(machine, revision);
      if (!complete) again();
    };
    const change = { put: key, value: encodeMachine(machine, assignments) };
    return { key, version, change, guards, durable, again };
  }

  /**
   * What a machine's record may name. A task that it names for the first time may start once it is
   * durable, so it must not be if the task's job was cancelled before: that is a condition, and there
   * may be only so many in a transaction.
   */
  private nameable(machine: Machine) {
    const maxGuards = RecordBatch.maxGuards(this.client.limits);
    const guards = new Map<string, Condition>();
    const assignments: Assignment[] = [];
    for (const assignment of machine.tasks.values()) {
      const { id } = assignment.job.job;
      const guarded = !assignment.recorded && assignment.stop === null;
      if (guarded && !guards.has(id)) {
        if (guards.size === maxGuards) continue;
        guards.set(id, { key: jobKey(id), version: this.jobs.get(id)?.version ?? 0 });
      }
      assignments.push(assignment);
    }
    const complete = assignments.length === machine.tasks.size;
    return { assignments, guards: [...guards.values()], complete };
  }

  private jobChanges(job: JobState): RecordChange[] {
    const size = job.done.size;
    const id = job.job.id;
    const again = () => void this.book.unrecorded.jobs.add(id);
    if (size === job.job.tasks) {
      const record = this.jobs.get(id);
      if (!record || record.phase !== 'accepted') return [];
      const value = encodeJob({ ...record, phase: 'done' });
      const key = jobKey(id);
      return [
        {
          key,
          version: record.version,
          change: { put: key, value },
          guards: [],
          durable: (revision) => this.jobs.cache.learn(key, value, revision),
          again,
        },
      ];
    }
    const items: RecordChange[] = [];
    const chunks = Math.ceil(job.job.tasks / this.chunkTasks);
    for (let chunk = 0; chunk < chunks; chunk++) {
      const key = progressKey(id, chunk);
      items.push({
        key,
        version: this.versions.get(key) ?? 0,
        change: { put: key, value: { done: job.done.chunkText(chunk, this.chunkTasks) } },
        guards: [],
        durable: (revision) => {
          this.versions.set(key, revision);
          if (job.done.size === size) job.unsaved = false;
        },
        again,
      });
    }
    return items;
  }
}

function encodeMachine(machine: Machine, held: Assignment[]): MachineRecord {
  return {
    addr: machine.addr,
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    tasks: held.map(({ job, index, attempt }) => [job.job.id, index, attempt]),
  };
}

/** Key order does not matter. */
function same(a: unknown, b: unknown): boolean {
  return canonical(a) === canonical(b);
}

function canonical(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) =>
    part !== null && typeof part === 'object' && !Array.isArray(part)
      ? Object.fromEntries(Object.entries(part).sort(([x], [y]) => (x < y ? -1 : 1)))
      : part,
  );
}
