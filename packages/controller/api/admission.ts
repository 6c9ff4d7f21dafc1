/** Limits, per team, how many submissions wait for their records to be written. */
import type { GroupCommit, StateClient } from '#store';
import type { Runtime } from '#wire';
import type { Log } from '../observability/log.js';

/** A submission whose expected wait for its record exceeds this many heartbeat intervals is refused. */
const MAX_WAIT_INTERVALS = 2;
/**
 * Limit of a submission's wait, in seconds, for the case that the other controllers start to use their
 * whole share of the state service's rates. Users' clients time out after 5 s.
 */
const MAX_WORST_CASE_WAIT_S = 4;
/** Upper limit of `Retry-After`, in seconds: users retry after this time even if the header says more. */
const MAX_RETRY_AFTER_S = 30;
/** Ratio of the period over which retries are spread to the time for which the state service has failed. */
const FAILURE_SPREAD_RATIO = 1 / 4;
/** Upper limit of the period over which retries are spread, in heartbeat intervals. */
const MAX_FAILURE_SPREAD_INTERVALS = 4;
/** Heartbeat intervals between two log lines about refusals of one team. */
const INTERVALS_BETWEEN_LOG_LINES = 10;

/** Dependencies of `Admission`. */
export interface AdmissionOptions {
  runtime: Runtime;
  client: Pick<StateClient, 'userChangesPerS' | 'userWaitS' | 'failingSince'>;
  commits: Pick<GroupCommit, 'changesAhead' | 'shareOf' | 'isFull'>;
  heartbeatIntervalS: number;
  log: Log;
}

/** What a refused submission would have exceeded. */
export type ExhaustedResource = 'write rate' | 'memory';

/** The refused submissions of one team. */
interface TeamRefusals {
  total: number;
  /**
   * Latest time at which a refused user was told to retry, in seconds of the monotonic clock. Retries that
   * are spread at random don't count.
   */
  lastRetryAt: number;
  loggedAt: number;
}

/**
 * Decides, without waiting, whether a submission may queue for its record to be written. A submission
 * queues behind those of its own team; teams take turns. A team that submits too much is therefore refused
 * while the submissions of other teams are accepted. Each controller decides alone, based on its own share
 * of the state service's rates.
 */
export class Admission {
  private readonly refusals = new Map<string, TeamRefusals>();

  constructor(private readonly options: AdmissionOptions) {}

  /** Null if a submission of the team may queue; otherwise the seconds after which the user should retry. */
  refusalDelayS(team: string): number | null {
    const { client, commits, heartbeatIntervalS } = this.options;
    const { expected, longest } = client.userWaitS(commits.changesAhead(team) + 1);
    const isWaitAcceptable =
      expected <= MAX_WAIT_INTERVALS * heartbeatIntervalS && longest <= MAX_WORST_CASE_WAIT_S;
    if (!commits.isFull && isWaitAcceptable) return null;
    return this.refuse(team, 'write rate');
  }

  /**
   * Seconds after which a user should retry a request that the state service did not serve. The delay grows
   * with the time for which the service has failed. Fewer retries then fail again, and the retries don't all
   * arrive when the service recovers.
   */
  retryAfterFailureS(): number {
    const { runtime, client, heartbeatIntervalS } = this.options;
    const failingForS = Math.max(0, runtime.clock.now() - client.failingSince);
    const spreadS = Math.min(
      MAX_FAILURE_SPREAD_INTERVALS * heartbeatIntervalS,
      failingForS * FAILURE_SPREAD_RATIO,
    );
    return heartbeatIntervalS + runtime.random() * spreadS;
  }

  /** Number of submissions refused since the start, by team. */
  totals(): Record<string, number> {
    return Object.fromEntries([...this.refusals].map(([team, { total }]) => [team, total]));
  }

  /**
   * Counts a refusal of the team and returns the seconds after which the user should retry. Each refused
   * user gets its own retry time, after all submissions that are queued now and at the rate at which the
   * team's submissions are recorded. Retry times beyond `MAX_RETRY_AFTER_S` are replaced by random ones
   * between half of it and all of it.
   */
  refuse(team: string, exhausted: ExhaustedResource): number {
    const { runtime, client, commits } = this.options;
    const { expected } = client.userWaitS(commits.changesAhead(team) + 1);
    const now = runtime.clock.now();
    const refusals = this.getOrCreateRefusals(team);
    const recordsPerS = client.userChangesPerS * commits.shareOf(team);
    const retryAt = Math.max(refusals.lastRetryAt, now + expected) + 1 / recordsPerS;
    const hasOwnRetryTime = retryAt <= now + MAX_RETRY_AFTER_S;
    if (hasOwnRetryTime) refusals.lastRetryAt = retryAt;
    const retryAfterS = hasOwnRetryTime
      ? retryAt - now
      : MAX_RETRY_AFTER_S * (1 - runtime.random() / 2);
    this.countRefusal(team, refusals, { exhausted, retryAfterS });
    return retryAfterS;
  }

  private getOrCreateRefusals(team: string): TeamRefusals {
    let refusals = this.refusals.get(team);
    if (!refusals) {
      refusals = { total: 0, lastRetryAt: -Infinity, loggedAt: -Infinity };
      this.refusals.set(team, refusals);
    }
    return refusals;
  }

  private countRefusal(
    team: string,
    refusals: TeamRefusals,
    refusal: { exhausted: ExhaustedResource; retryAfterS: number },
  ): void {
    const { runtime, heartbeatIntervalS, log } = this.options;
    refusals.total++;
    const now = runtime.clock.now();
    if (now < refusals.loggedAt + INTERVALS_BETWEEN_LOG_LINES * heartbeatIntervalS) return;
    refusals.loggedAt = now;
    log.info({ team, refused: refusals.total, ...refusal }, 'submissions refused');
  }
}
