/** Loads the records of earlier leaders at the start of a term. */
import type { FleetState } from '#core';
import {
  decodeJob,
  jobKey,
  type JobRecord,
  MACHINES_PREFIX,
  type MachineRecord,
  PROGRESS_PREFIX,
  type ProgressValue,
  removalsKey,
  type StateClient,
  type Term,
} from '#store';
import type { Entry } from '#wire';
import type { JobTable } from '../jobs/job-table.js';
import type { Recorder } from './recorder.js';
import { TermLostError } from './term-lost-error.js';

/** Resolves with all records under a prefix, as they are at some moment after the call. */
export type ReadRecords = (prefix: string, signal: AbortSignal) => Promise<Entry[]>;

/** Dependencies of a `RecordLoader`. */
export interface RecordLoaderOptions {
  client: StateClient;
  readRecords: ReadRecords;
  jobs: JobTable;
  fleet: FleetState;
  recorder: Recorder;
  term: Term;
  /** Adds a job to the fleet state. */
  acceptJob: (record: JobRecord) => void;
  /**
   * Called once all jobs are loaded, before progress and machines are. Gets the time in seconds of the monotonic clock.
   */
  onJobsAccepted: (now: number) => void;
  /** Returns the time in seconds of the monotonic clock. */
  now: () => number;
}

/** Loads the records of earlier leaders into the fleet state of a new term. */
export class RecordLoader {
  constructor(private readonly options: RecordLoaderOptions) {}

  /**
   * Resolves with the number of recorded machines. Rejects with TermLostError if the records contradict each other,
   * and with an error of the state service if they cannot be read; the fleet state must then not be used.
   */
  async load(signal: AbortSignal): Promise<number> {
    const {
      client,
      readRecords,
      jobs,
      fleet,
      recorder,
      term,
      onJobsAccepted: notifyJobsAccepted,
      now,
    } = this.options;
    // Everything that was durable before this term's election is read. Jobs come first, because other records refer to
    // them.
    await jobs.cache.sync();
    const [machines, progress, removals] = await Promise.all([
      readRecords(MACHINES_PREFIX, signal),
      readRecords(PROGRESS_PREFIX, signal),
      client.callUrgent(signal, (api) => api.get(removalsKey(term.shard), signal)),
    ]);
    const assignedJobIds = new Set(machines.flatMap(jobIdsOnMachine));
    const ended = await this.readEndedJobs(assignedJobIds, signal);
    recorder.removalMarker.restore(removals?.version ?? 0);
    // No `await` from here on, so that no change of a job is missed in between.
    const loadedAt = now();
    this.acceptJobs(assignedJobIds, ended);
    notifyJobsAccepted(loadedAt);
    for (const entry of progress) this.acceptProgress(entry);
    for (const entry of machines) this.acceptMachine(entry, loadedAt);
    fleet.machines.updateTotals();
    return machines.length;
  }

  /** Accepts all open jobs, and those ended jobs of which a machine may still run tasks. */
  private acceptJobs(assignedJobIds: Set<string>, ended: Map<string, JobRecord>): void {
    const { jobs, acceptJob } = this.options;
    for (const id of jobs.ids()) {
      if (jobs.get(id)?.phase !== 'accepted' && !assignedJobIds.has(id)) continue;
      const record = jobs.fullRecord(id) ?? ended.get(id);
      if (record) acceptJob(record);
    }
  }

  /** Reads the records of assigned jobs that have ended and whose full records the job table no longer keeps. */
  private async readEndedJobs(
    assignedJobIds: Set<string>,
    signal: AbortSignal,
  ): Promise<Map<string, JobRecord>> {
    const { client, jobs } = this.options;
    const missing = [...assignedJobIds].filter((id) => jobs.get(id) && !jobs.fullRecord(id));
    const read = (id: string) => client.callUrgent(signal, (api) => api.get(jobKey(id), signal));
    const entries = await Promise.all(missing.map(read));
    const records = entries
      .filter((entry) => entry !== null)
      .map(({ value, version }) => decodeJob(value, version));
    return new Map(records.map((record) => [record.job.id, record]));
  }

  private acceptProgress({ key, value, version }: Entry): void {
    const [id, label] = key.slice(PROGRESS_PREFIX.length).split('/');
    const recorded = { label: Number(label), value: value as ProgressValue, version };
    this.options.recorder.jobRecords.restore(id, recorded);
  }

  private acceptMachine({ key, value, version }: Entry, now: number): void {
    const { fleet, recorder, term } = this.options;
    const { addr, type, zone, spot, tasks } = value as MachineRecord;
    const name = key.slice(MACHINES_PREFIX.length);
    recorder.machineRecords.restore(name, version);
    const machine = fleet.machines.register({ name, addr, type, zone, spot }, 'up', now);
    // While the records were read, this term's leader has renewed worker leases without the fleet state
    // (HeartbeatEndpoint.renewLease), so each machine counts as answered at this moment.
    machine.answeredAt = now;
    machine.answeredSince = now;
    for (const [id, index, attempt] of tasks) {
      const job = fleet.jobs.get(id);
      if (!job) {
        const detail = `the record of machine ${name} names job ${id}, which has no record`;
        throw new TermLostError(term.term, 'unknown-job', detail);
      }
      fleet.assignments.inherit(job, index, machine, attempt, now);
    }
  }
}

function jobIdsOnMachine({ value }: Entry): string[] {
  return (value as MachineRecord).tasks.map(([job]) => job);
}
