/** What a state service holds of a fleet, as an owner reads it when it takes over. */
import type { FleetState, JobState, Machine } from '#core';
import { encodeJob, jobKey, MACHINES_PREFIX, progressKey } from '#store';
import type { Entry } from '#wire';

/** All records, by kind. */
export interface FleetRecords {
  jobs: Entry[];
  machines: Entry[];
  progress: Entry[];
}

const VERSION = 1;

/** The records of a fleet of which everything is recorded. */
export function recordsOf(fleet: FleetState): FleetRecords {
  const jobs = [...fleet.jobs.values()];
  return {
    jobs: jobs.map(jobEntry),
    machines: [...fleet.machines.values()].filter(({ tasks }) => tasks.size > 0).map(machineEntry),
    progress: jobs.filter(({ done }) => done.size > 0).map(progressEntry),
  };
}

function jobEntry({ spec, phase }: JobState): Entry {
  const value = encodeJob({ job: spec, acceptedAtMs: 0, phase });
  return { key: jobKey(spec.id), value, version: VERSION };
}

function machineEntry({ name, addr, type, zone, spot, tasks }: Machine): Entry {
  const named = [...tasks.values()].map(({ job, index, attempt }) => [job.spec.id, index, attempt]);
  return {
    key: MACHINES_PREFIX + name,
    value: { addr, type, zone, spot, tasks: named },
    version: VERSION,
  };
}

function progressEntry({ spec, done }: JobState): Entry {
  const value = { done: done.toBase64(0, 8 * Math.ceil(spec.tasks / 8)) };
  return { key: progressKey(spec.id, 0), value, version: VERSION };
}
