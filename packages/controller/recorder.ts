import { Change, Condition, Runtime, sleep } from '#wire';
import type { Assignment, Book, JobState, Machine } from '#core';
import {
  encodeJob,
  jobKey,
  MACHINES,
  MachineRecord,
  partKey,
  progressChunkTasks,
  progressKey,
  sizeOf,
  StateClient,
  Term,
} from '#store';
import type { JobTable } from './jobs.js';
import type { Log } from './log.js';

interface Item {
  key: string;
  version: number;
  change: Change;
  /** What follows from the change being durable. */
  durable: (revision: number) => void;
  /** Puts the change back in line. */
  again: () => void;
}

/** Before a transaction is sent again: at least so long, and up to so much longer. */
const RETRY_MS = 100;
const RETRY_SPREAD_MS = 200;

/** Half of a transaction's 64 KiB: keys, conditions and CBOR come on top. */
const TXN_BYTES = 48 * 1024;

/** Our own records are not as this term left them: the term must not be used further. */
export class TermBroken extends Error {}

export interface RecorderOptions {
  runtime: Runtime;
  client: StateClient;
  book: Book;
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
  private readonly book: Book;
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
    return this.book.dirtyMachines.size > 0 || this.book.dirtyJobs.size > 0;
  }

  /** Writes as much as one transaction takes. */
  async flush(signal: AbortSignal): Promise<void> {
    const items = this.collect();
    if (items.length === 0) return;
    for (;;) {
      try {
        if (await this.send(items, signal)) return;
      } catch (err) {
        if (err instanceof TermBroken || signal.aborted) throw err;
        const { runtime } = this.options;
        await sleep(runtime.clock, RETRY_MS + runtime.random() * RETRY_SPREAD_MS, signal);
      }
    }
  }

  private async send(items: Item[], signal: AbortSignal): Promise<boolean> {
    const conditions: Condition[] = [
      { key: partKey(this.term.part), version: this.term.term },
      ...items.map(({ key, version }) => ({ key, version })),
    ];
    const changes = items.map((item) => item.change);
    const out = await this.client.txn(conditions, changes, false, signal);
    if (out.ok) {
      for (const item of items) item.durable(out.revision);
      return true;
    }
    if (!('failed' in out)) throw new TermBroken('no such grant');
    if (out.failed.includes(partKey(this.term.part))) throw new TermBroken('term is over');
    return this.settle(items, out.failed, signal);
  }

  /** A record differs: an earlier send of the same was applied, or a user's abort came between. */
  private async settle(items: Item[], failed: string[], signal: AbortSignal): Promise<boolean> {
    for (const key of failed) {
      const item = items.find((candidate) => candidate.key === key);
      if (!item) throw new TermBroken(`unexpected condition ${key}`);
      const now = await this.client.call(true, signal, (api) => api.get(key, signal));
      const wanted = 'put' in item.change ? item.change.value : undefined;
      if (now ? same(now.value, wanted) : wanted === undefined) {
        // All or nothing: the whole transaction was applied.
        const revision = now?.version ?? 0;
        for (const each of items) each.durable(revision);
        return true;
      }
      if (key.startsWith('jobs/') && now) {
        this.jobs.cache.learn(key, now.value, now.version);
        this.log.debug({ key }, 'aborted before its end was recorded');
      } else throw new TermBroken(`record ${key} changed under this term`);
    }
    for (const item of items) item.again();
    return true;
  }

  private collect(): Item[] {
    const { txnOps, valueBytes } = this.client.limits;
    const items: Item[] = [];
    let bytes = 0;
    const room = () => items.length < txnOps && bytes + valueBytes < TXN_BYTES;
    for (const name of [...this.book.dirtyMachines]) {
      if (!room()) break;
      this.book.dirtyMachines.delete(name);
      const item = this.machineItem(name);
      if (!item) continue;
      items.push(item);
      bytes += sizeOf([item.change]);
    }
    for (const id of [...this.book.dirtyJobs]) {
      const job = this.book.jobs.get(id);
      const chunks = job ? Math.ceil(job.job.tasks / this.chunkTasks) : 0;
      if (items.length > 0 && (!room() || items.length + chunks > txnOps)) break;
      this.book.dirtyJobs.delete(id);
      if (!job || job.phase !== 'accepted') continue;
      const made = this.jobItems(job, chunks);
      items.push(...made);
      bytes += sizeOf(made.map((item) => item.change));
    }
    return items;
  }

  private machineItem(name: string): Item | null {
    const key = MACHINES + name;
    const version = this.versions.get(key) ?? 0;
    const machine = this.book.machines.get(name);
    const again = () => void this.book.dirtyMachines.add(name);
    if (!machine) {
      if (version === 0) return null;
      return {
        key,
        version,
        change: { delete: key },
        durable: () => this.versions.delete(key),
        again,
      };
    }
    if (machine.tasks.size === 0 && version === 0) return null;
    const held = [...machine.tasks.values()];
    return {
      key,
      version,
      change: { put: key, value: encodeMachine(machine, held) },
      durable: (revision) => {
        this.versions.set(key, revision);
        for (const assignment of held) assignment.recorded = true;
        this.book.handedOver(machine, revision);
      },
      again,
    };
  }

  private jobItems(job: JobState, chunks: number): Item[] {
    const size = job.done.size;
    const id = job.job.id;
    const again = () => void this.book.dirtyJobs.add(id);
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
          durable: (revision) => this.jobs.cache.learn(key, value, revision),
          again,
        },
      ];
    }
    const items: Item[] = [];
    for (let chunk = 0; chunk < chunks; chunk++) {
      const key = progressKey(id, chunk);
      items.push({
        key,
        version: this.versions.get(key) ?? 0,
        change: { put: key, value: { done: job.done.chunkText(chunk, this.chunkTasks) } },
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
