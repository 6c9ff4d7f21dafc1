/** What most components of a controller share. */
import { NO_QUOTA, teamWeight } from '#core';
import { GroupCommit, LeaderElection, StateClient } from '#store';
import type { Runtime } from '#wire';
import { Cancellations } from './peers/cancellations.js';
import { JobTable } from './jobs/job-table.js';
import type { Log } from './observability/log.js';
import { MachineTypes } from './cloud/machine-types.js';
import type { OptionalReplicaSupport } from './replica-support.js';
import { type Settings, teamQuotas } from './settings/settings.js';
import type { StateAccess } from './state-access.js';

/** The shard that holds all machines. */
export const ONLY_SHARD = 0;

/** Cancellations whose records are remembered, to be told to peers that have not read them. */
const MAX_RECORDED_CANCELLATIONS = 2000;
/** Multiple of the time to cancel for which a request to cancel is remembered. */
const CANCELLATION_RETENTION_FACTOR = 2;

/** Submissions and cancellations that may wait for their record, in seconds of the allowed rate. */
const COMMIT_QUEUE_LENGTH_S = 2;

/** The surroundings of a controller, and what it knows by the state service. */
export interface ControllerServices {
  runtime: Runtime;
  settings: Settings;
  log: Log;
  client: StateClient;
  /** Users' changes of jobs, which share transactions. */
  commits: GroupCommit;
  election: LeaderElection;
  jobs: JobTable;
  types: MachineTypes;
  cancellations: Cancellations;
  /** Replicas of several members. */
  replicas: OptionalReplicaSupport;
}

/** Weights of teams whose submissions wait side by side: their shares of all guaranteed quotas. */
function makeSubmissionWeights({ deployment, operator }: Settings): (team: string) => number {
  const quotas = teamQuotas(deployment.teams);
  const guaranteed = { cpus: 0, gpus: 0, memory: 0 };
  for (const { guaranteedCpus, guaranteedGpus } of quotas.values()) {
    guaranteed.cpus += guaranteedCpus;
    guaranteed.gpus += guaranteedGpus;
  }
  return (team) => teamWeight(quotas.get(team) ?? NO_QUOTA, guaranteed, operator.floorWeight);
}

/** Makes the shared services; `defersCampaign` tells whether others should rather lead than this controller. */
export function makeServices(
  runtime: Runtime,
  settings: Settings,
  log: Log,
  { client, world, jobs }: StateAccess,
  defersCampaign: () => boolean,
): ControllerServices {
  const { workers } = settings.deployment;
  const retentionS = CANCELLATION_RETENTION_FACTOR * workers.cancel_s;
  const cancellations = new Cancellations(MAX_RECORDED_CANCELLATIONS, retentionS);
  const election = new LeaderElection({
    client,
    runtime,
    cache: world,
    name: settings.host_name,
    shard: ONLY_SHARD,
    ttlS: settings.operator.electionLeaseTtlS,
    defersCampaign,
  });
  return {
    runtime,
    settings,
    log,
    client,
    commits: new GroupCommit({
      client,
      runtime,
      maxQueue: Math.ceil(client.limits.writeRps * COMMIT_QUEUE_LENGTH_S),
      weightOf: makeSubmissionWeights(settings),
    }),
    election,
    jobs: new JobTable(jobs, cancellations),
    types: new MachineTypes(client, world),
    cancellations,
    replicas: { support: null },
  };
}
