/** Services that most components of a controller share. */
import { NO_QUOTA, teamWeight } from '#core';
import { GroupCommit, LeaderElection, StateClient } from '#store';
import type { Runtime } from '#wire';
import { Cancellations } from './peers/cancellations.js';
import { JobMemory } from './jobs/job-memory.js';
import { jobMemoryLimits } from './jobs/job-memory-limits.js';
import { JobTable } from './jobs/job-table.js';
import type { Log } from './observability/log.js';
import { MachineTypes } from './cloud/machine-types.js';
import type { OptionalReplicaSupport } from './replica-support.js';
import type { DeploymentSettings } from './settings/platform-settings.js';
import { type Settings, teamQuotas } from './settings/settings.js';
import type { StateAccess } from './state-access.js';

/** Index of the only shard, which contains all machines. */
export const ONLY_SHARD = 0;

/** Number of recorded cancellations that are kept to announce them to peers that have not read the records. */
const KEPT_RECORDED_CANCELLATIONS = 2000;
/** A requested cancellation is kept for this multiple of `cancel_s`. */
const CANCELLATION_RETENTION_FACTOR = 2;

/** Limit of the queue of submissions and cancellations to be recorded, in seconds at the allowed write rate. */
const COMMIT_QUEUE_LENGTH_S = 2;

/** Runtime, settings and log of a controller, and its views of the state service. */
export interface ControllerServices {
  runtime: Runtime;
  settings: Settings;
  log: Log;
  client: StateClient;
  /** Group commit of users' changes to jobs: several changes share a transaction. */
  commits: GroupCommit;
  election: LeaderElection;
  jobs: JobTable;
  types: MachineTypes;
  cancellations: Cancellations;
  /** Support for replicas that have several members. */
  replicas: OptionalReplicaSupport;
}

/**
 * Returns the weight of a team in the turns that the queued submissions of all teams take. The weight is the
 * team's share of all guaranteed quotas.
 */
function makeSubmissionWeights({ deployment, operator }: Settings): (team: string) => number {
  const quotas = teamQuotas(deployment.teams);
  const guaranteed = { cpus: 0, gpus: 0, memory: 0 };
  for (const { guaranteedCpus, guaranteedGpus } of quotas.values()) {
    guaranteed.cpus += guaranteedCpus;
    guaranteed.gpus += guaranteedGpus;
  }
  return (team) => teamWeight(quotas.get(team) ?? NO_QUOTA, guaranteed, operator.floorWeight);
}

function makeCancellations({ workers }: DeploymentSettings): Cancellations {
  const retentionS = CANCELLATION_RETENTION_FACTOR * workers.cancel_s;
  return new Cancellations(KEPT_RECORDED_CANCELLATIONS, retentionS);
}

/** Makes the shared services. `defersCampaign` returns whether another controller should lead instead of this one. */
export function makeServices(
  runtime: Runtime,
  settings: Settings,
  log: Log,
  { client, world, jobs }: StateAccess,
  defersCampaign: () => boolean,
): ControllerServices {
  const { deployment } = settings;
  const cancellations = makeCancellations(deployment);
  const memory = new JobMemory(jobMemoryLimits(deployment));
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
    jobs: new JobTable(jobs, cancellations, memory),
    types: new MachineTypes(client, world),
    cancellations,
    replicas: { support: null },
  };
}
