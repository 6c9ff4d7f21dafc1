/** Serves the metrics of a controller to operators. */
import type { Express } from 'express';
import type { StateClient } from '#store';
import type { Clock } from '#wire';
import type { Admission } from '../api/admission.js';
import { type GaugeValues, Metrics } from './metrics.js';
import type { JobMemory } from '../jobs/job-memory.js';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { OptionalReplicaSupport } from '../replica-support.js';
import type { ProcessStatistics } from './process-statistics.js';

/** The components that the metrics are read from. */
export interface MetricsEndpointOptions {
  clock: Clock;
  heartbeatIntervalS: number;
  statistics: ProcessStatistics;
  client: StateClient;
  admission: Admission;
  jobMemory: JobMemory;
  replicas: OptionalReplicaSupport;
  /** The leader that runs in this process; null while this controller is a follower. */
  leader: () => ShardLeader | null;
}

/** Values of the label `of` by the name of the count in the code, where the two differ. */
const LABEL_OF_TOTAL: Record<string, string> = { heartbeats: 'reports', userRequests: 'questions' };

const BYTES_PER_MIB = 2 ** 20;

/** Serves `/metrics`. The first request loads the metrics library; no times are observed before. */
export class MetricsEndpoint {
  private loading: Promise<Metrics> | null = null;
  private loaded: Metrics | null = null;

  constructor(private readonly options: MetricsEndpointOptions) {}

  /** Adds the route. */
  mount(app: Express): void {
    app.get('/metrics', (_req, res, next) => {
      this.loading ??= this.load();
      this.loading
        .then(async (metrics) => {
          res.type(metrics.contentType).end(await metrics.text());
        })
        .catch(next);
    });
  }

  /** Starts timing the answer to a heartbeat; the caller ends it by calling the returned function. */
  timeHeartbeat(): () => void {
    return this.time((metrics, seconds) => {
      metrics.heartbeats.observe(seconds);
    });
  }

  /** Starts timing the answer to a user's request; the caller ends it by calling the returned function. */
  timeUserRequest(kind: string): () => void {
    return this.time((metrics, seconds) => {
      metrics.userRequests.observe({ kind }, seconds);
    });
  }

  /** Adds the duration of a scheduling round, in ms, to its histogram. */
  observeRound(roundMs: number): void {
    this.loaded?.rounds.observe(roundMs / 1000);
  }

  private time(observe: (metrics: Metrics, seconds: number) => void): () => void {
    const { loaded: metrics } = this;
    if (metrics === null) return ignoreObservation;
    const { clock } = this.options;
    const startedAt = clock.now();
    return () => {
      observe(metrics, clock.now() - startedAt);
    };
  }

  private async load(): Promise<Metrics> {
    const metrics = await Metrics.load(this.options.heartbeatIntervalS);
    this.register(metrics);
    this.loaded = metrics;
    return metrics;
  }

  private register(metrics: Metrics): void {
    const { statistics, client, leader } = this.options;
    metrics.gauge('total', 'Counts since the start', 'of', () => labelTotals(statistics.totals()));
    metrics.gauge('held', 'Connections, and memory (MiB)', 'of', () => statistics.resourceUsage());
    metrics.gauge('term', 'Term of the shard that this controller leads, 0 if none', null, () => ({
      '': leader()?.term.term ?? 0,
    }));
    const budgetHelp = "Unused part of this controller's share of the state service's rate limits";
    metrics.gauge('budget', budgetHelp, 'of', () => client.available());
    this.registerAdmission(metrics);
    metrics.gauge(
      'team_index',
      'Fair-share index of each team',
      'team',
      () => leader()?.fleetSummary().fairShareIndex ?? {},
    );
    metrics.gauge(
      'waiting',
      'Tasks that wait to be placed on a machine',
      'class',
      () => leader()?.fleetSummary().waitingTasks ?? {},
    );
    const openDependenciesHelp = 'Jobs with dependencies that are not done';
    metrics.gauge('awaiting_jobs', openDependenciesHelp, null, () => ({
      '': leader()?.fleet.jobs.jobsWithOpenDependencies ?? 0,
    }));
    const crashLoopingHelp = 'Jobs whose tasks fail on every machine tried';
    metrics.gauge('suspect_jobs', crashLoopingHelp, null, () => ({
      '': leader()?.fleet.failures.crashLoopingJobs.size ?? 0,
    }));
    metrics.gauge(
      'machines',
      'Machines by state and kind',
      'state',
      () => leader()?.fleetSummary().machines ?? {},
    );
    this.registerStarts(metrics);
    this.registerReplicas(metrics);
  }

  private registerStarts(metrics: Metrics): void {
    const { leader } = this.options;
    const unexpectedHelp = 'Attempts found in this term that ran without an assignment';
    metrics.gauge('unexpected_attempts', unexpectedHelp, null, () => ({
      '': leader()?.fleet.unexpectedAttempts.total ?? 0,
    }));
    const retainedHelp = 'Exited attempts that workers keep until no copy of their start can act';
    metrics.gauge('retained_attempts', retainedHelp, null, () => ({
      '': leader()?.fleetSummary().retainedAttempts ?? 0,
    }));
    const fenceHelp = 'Machine records written in this term only to raise a fencing token';
    metrics.gauge('fence_records', fenceHelp, null, () => ({
      '': leader()?.fleet.fencing.recordsRequested ?? 0,
    }));
  }

  private registerAdmission(metrics: Metrics): void {
    const { admission, jobMemory } = this.options;
    const jobMemoryHelp = 'Memory that jobs take by estimate, and may take (MiB)';
    metrics.gauge('job_memory', jobMemoryHelp, 'of', () => ({
      used: jobMemory.usedBytes / BYTES_PER_MIB,
      limit: jobMemory.limitBytes / BYTES_PER_MIB,
    }));
    const refusedHelp =
      "Submissions refused for lack of the state service's write rate or of memory for jobs";
    metrics.gauge('refused_submissions', refusedHelp, 'team', () => admission.totals());
  }

  private registerReplicas(metrics: Metrics): void {
    const { replicas, leader } = this.options;
    const { support } = replicas;
    if (support === null) return;
    const phases = () => leader()?.replicaGroups?.countByPhase() ?? {};
    metrics.gauge('replicas', 'Replicas of several members, by phase', 'phase', phases);
    const recoveries = () => support.metrics.recoveries();
    const recoveriesHelp =
      'Times that a replica became complete again, by the reason for which it was incomplete';
    metrics.gauge('replica_recoveries', recoveriesHelp, 'why', recoveries);
    const seconds = () => support.metrics.brokenSeconds();
    const secondsHelp = 'Seconds for which replicas were incomplete';
    metrics.gauge('replica_broken_seconds', secondsHelp, 'of', seconds);
  }
}

/** Maps the names of the counts to the values of the metric's label. */
function labelTotals(totals: Record<string, number>): GaugeValues {
  const entries = Object.entries(totals);
  return Object.fromEntries(entries.map(([name, total]) => [LABEL_OF_TOTAL[name] ?? name, total]));
}

function ignoreObservation(): void {
  // Times are not observed before the metrics are loaded.
}
