import { setMaxListeners } from 'node:events';
import { filter } from 'rxjs';
import { listAll, type Term } from '#store';
import { aborted, type CloudClient, pause } from '#wire';
import { CloudReconciler } from '../cloud/cloud-reconciler.js';
import type { LeaderLeaseState } from './leader-lease-check.js';
import type { ReadRecords } from '../records/record-loader.js';
import { ShardLeader } from './shard-leader.js';
import { TermBroken } from '../records/term-broken.js';
import type { ControllerServices } from '../services.js';

/**
 * Shares of the state service's rate of changes that one controller may use while it owns or does not. The
 * owner's records are nearly all changes that there are. Each has its least share to itself; up to the most it
 * may use what the others leave.
 */
const LEADER_WRITES = { least: 0.6, most: 0.8 };
const FOLLOWER_MAX_WRITES = 0.3;
const ALL_FOLLOWERS_MIN_WRITES = 0.3;
/** Share of a report period from a failed load of the records to the next. */
const RELOAD_PAUSE = 1 / 5;

export interface LeadershipTermsOptions extends ControllerServices {
  cloud: CloudClient;
  /** Whether the present owner may answer workers. */
  leaderLeaseState: () => LeaderLeaseState;
  /** Told how long each scheduling round took. */
  onRound: (roundMs: number) => void;
  /** Connections that may be open for direct commands. */
  directSockets: number;
}

/** Runs an owner, and what it does at the cloud, while this controller holds the part. */
export class LeadershipTerms {
  /** The owner of the present term, null while nothing is owned here. */
  current: ShardLeader | null = null;
  /** Its dealings with the cloud. */
  private cloud: CloudReconciler | null = null;
  /** Aborts when the present term ends. */
  private term: { id: number; end: AbortController } | null = null;
  /** How a new owner reads its records. */
  readRecords: ReadRecords = (prefix, signal) => listAll(this.options.client, prefix, signal);
  /** What is still ending, too. */
  private readonly running = new Set<Promise<void>>();

  constructor(private readonly options: LeadershipTermsOptions) {}

  /** Follows the ownership until the signal aborts; resolves once the last term has ended. */
  async run(signal: AbortSignal): Promise<void> {
    this.shareWrites(false);
    const terms = this.options.election.term
      .pipe(filter((term) => term?.term !== this.term?.id))
      .subscribe((term) => this.change(term, signal));
    await aborted(signal);
    terms.unsubscribe();
    await Promise.all(this.running);
  }

  /** Stops all decisions; resolves once none is on its way to the state service or the cloud. */
  async pause(): Promise<void> {
    await Promise.all([this.current?.pause(), this.cloud?.pause()]);
  }

  /** Decides again after a pause. */
  resume(): void {
    this.current?.resume();
    this.cloud?.resume();
  }

  private change(term: Term | null, signal: AbortSignal): void {
    const { log } = this.options;
    this.term?.end.abort();
    this.term = null;
    this.current = null;
    this.cloud = null;
    this.shareWrites(term !== null);
    if (!term) return;
    log.info({ term: term.term }, 'term begins');
    const end = new AbortController();
    this.term = { id: term.term, end };
    const done = this.lead(term, AbortSignal.any([signal, end.signal]));
    this.running.add(done);
    void done.finally(() => this.running.delete(done));
  }

  private shareWrites(owns: boolean): void {
    const { settings, client } = this.options;
    const others = settings.deployment.nodes - 1;
    if (others === 0) return;
    const least = Math.min(FOLLOWER_MAX_WRITES, ALL_FOLLOWERS_MIN_WRITES / others);
    client.shareWrites(owns ? LEADER_WRITES : { least, most: FOLLOWER_MAX_WRITES });
  }

  private async lead(term: Term, signal: AbortSignal): Promise<void> {
    const { runtime, settings, log } = this.options;
    while (!signal.aborted) {
      const leader = this.makeLeader(term);
      this.current = leader;
      const end = new AbortController();
      const attempt = AbortSignal.any([signal, end.signal]);
      // Every call to a worker listens to it.
      setMaxListeners(0, attempt);
      this.cloud = this.makeCloudReconciler(leader);
      const cloud = this.cloud.run(attempt);
      try {
        await leader.run(attempt);
      } catch (err) {
        if (signal.aborted || this.givesUp(leader, err)) return;
        log.debug({ err: String(err) }, 'owner starts anew');
        const delayMs = RELOAD_PAUSE * settings.deployment.workers.report_s * 1000;
        await pause(runtime.clock, delayMs, signal);
      } finally {
        end.abort();
        await cloud;
      }
    }
  }

  /** A fleet state that has given orders knows what may still arrive; it can't be made anew in its term. */
  private givesUp(leader: ShardLeader, err: unknown): boolean {
    if (!(err instanceof TermBroken) && !leader.ready) return false;
    this.options.log.info({ why: String(err), term: leader.term.term }, 'term given up');
    this.options.election.resign();
    return true;
  }

  private makeLeader(term: Term): ShardLeader {
    const { runtime, settings, client, commits, jobs, types, replicas, leaderLeaseState, log } =
      this.options;
    return new ShardLeader({
      runtime,
      settings,
      client,
      readRecords: this.readRecords,
      commits,
      jobs,
      term,
      types: () => types.all(),
      replicas,
      holdsLeaderLease: () => leaderLeaseState() !== 'none',
      onRound: this.options.onRound,
      directSockets: this.options.directSockets,
      log,
    });
  }

  private makeCloudReconciler(leader: ShardLeader): CloudReconciler {
    const { runtime, settings, client, cloud, types, leaderLeaseState, log } = this.options;
    const { deployment, host_name } = settings;
    return new CloudReconciler({
      runtime,
      cloud,
      leader,
      name: host_name,
      rps: deployment.cloud.rps,
      listLagS: deployment.cloud.list_lag_s,
      heartbeatIntervalS: deployment.workers.report_s,
      leaseS: deployment.workers.lease_s,
      onTypes: (listed, signal) => types.publish(listed, signal),
      mayScaleOut: () => ['granted', 'attested'].includes(leaderLeaseState()),
      mayScaleIn: () => leaderLeaseState() === 'granted' && !client.failing,
      log,
    });
  }
}
