/** One attempt to lead a term: runs a leader and the cloud reconciler of that leader. */
import { setMaxListeners } from 'node:events';
import type { Term } from '#store';
import type { CloudClient } from '#wire';
import { CloudReconciler } from '../cloud/cloud-reconciler.js';
import type { ReadRecords } from '../records/record-loader.js';
import type { ControllerServices } from '../services.js';
import type { LeaderLeaseState } from './leader-lease-check.js';
import { ShardLeader } from './shard-leader.js';

type Services = Pick<
  ControllerServices,
  'runtime' | 'settings' | 'client' | 'commits' | 'jobs' | 'types' | 'replicas' | 'log'
>;

/** Dependencies of every attempt. */
export interface LeadershipAttemptOptions extends Services {
  cloud: CloudClient;
  /** Returns the state of the current leader's lease: whether the leader may still act. */
  leaderLeaseState: () => LeaderLeaseState;
  /** Called after each scheduling round with its duration in milliseconds. */
  onRound: (roundMs: number) => void;
  /** Maximum number of open connections for direct commands. */
  directSockets: number;
}

/**
 * Whether an attempt that has ended is followed by another one. `retry`: the term is attempted again, unless it has
 * ended by then. `over`: the term is not attempted again.
 */
export type AttemptOutcome = 'retry' | 'over';

/** Leads one term until it ends or the leader fails. */
export class LeadershipAttempt {
  readonly leader: ShardLeader;
  private readonly cloud: CloudReconciler;

  constructor(options: LeadershipAttemptOptions, term: Term, readRecords: ReadRecords) {
    this.leader = makeLeader(options, term, readRecords);
    this.cloud = makeCloudReconciler(options, this.leader);
  }

  /**
   * Runs until the signal aborts or the leader fails, and resolves once both leader and reconciler have ended. An
   * error of the leader is passed to `onFailure`, which must not reject. The reconciler runs until `onFailure` has
   * resolved.
   */
  async run(
    signal: AbortSignal,
    onFailure: (err: unknown) => Promise<AttemptOutcome>,
  ): Promise<AttemptOutcome> {
    const end = new AbortController();
    const attempt = AbortSignal.any([signal, end.signal]);
    // Every call to a worker adds a listener to this signal: without this, Node.js warns of a leak.
    setMaxListeners(0, attempt);
    const cloud = this.cloud.run(attempt);
    try {
      await this.leader.run(attempt);
      return 'retry';
    } catch (err) {
      return await onFailure(err);
    } finally {
      end.abort();
      await cloud;
    }
  }

  /** Stops all decisions. Resolves once none is in flight to the state service or the cloud. */
  async pause(): Promise<void> {
    await Promise.all([this.leader.pause(), this.cloud.pause()]);
  }

  /** Resumes decisions after a pause. */
  resume(): void {
    this.leader.resume();
    this.cloud.resume();
  }
}

function makeLeader(
  options: LeadershipAttemptOptions,
  term: Term,
  readRecords: ReadRecords,
): ShardLeader {
  const { runtime, settings, client, commits, jobs, types, replicas, log } = options;
  return new ShardLeader({
    runtime,
    settings,
    client,
    readRecords,
    commits,
    jobs,
    term,
    types: () => types.all(),
    replicas,
    holdsLeaderLease: () => options.leaderLeaseState() !== 'none',
    onRound: options.onRound,
    directSockets: options.directSockets,
    log,
  });
}

function makeCloudReconciler(
  { runtime, settings, client, cloud, types, leaderLeaseState, log }: LeadershipAttemptOptions,
  leader: ShardLeader,
): CloudReconciler {
  const { deployment, host_name: name } = settings;
  return new CloudReconciler({
    runtime,
    cloud,
    leader,
    name,
    rps: deployment.cloud.rps,
    listLagS: deployment.cloud.list_lag_s,
    heartbeatIntervalS: deployment.workers.report_s,
    leaseS: deployment.workers.lease_s,
    onTypes: (listed, signal) => types.publish(listed, signal),
    mayScaleOut: () => ['granted', 'attested'].includes(leaderLeaseState()),
    mayScaleIn: () => leaderLeaseState() === 'granted' && !client.isFailing,
    log,
  });
}
