/** Limits how many submissions wait for their records, team by team. */
import type { GroupCommit, StateClient } from '#store';
import type { Runtime } from '#wire';
import type { Log } from '../observability/log.js';

/** Heartbeat intervals that a submission may be expected to wait for its record; else it is refused. */
const MAX_WAIT_INTERVALS = 2;
/**
 * Longest wait, in seconds, if the other controllers begin to use their whole share of the rates: a user
 * gives up after 5 s.
 */
const MAX_WORST_CASE_WAIT_S = 4;
/** Longest time, in seconds, that a user waits before a retry, whatever `Retry-After` says. */
const MAX_RETRY_AFTER_S = 30;
/** Share of the time for which the state service has failed over which retries are spread. */
const FAILURE_SPREAD_RATIO = 1 / 4;
/** Heartbeat intervals over which retries are spread at most. */
const MAX_FAILURE_SPREAD_INTERVALS = 4;
/** Heartbeat intervals between two log lines about one team. */
const INTERVALS_BETWEEN_LOG_LINES = 10;

/** What admission is decided by. */
export interface AdmissionOptions {
  runtime: Runtime;
  client: Pick<StateClient, 'usersChangesPerS' | 'usersWaitS' | 'failingSince'>;
  commits: Pick<GroupCommit, 'changesAhead' | 'shareOf' | 'isFull'>;
  heartbeatIntervalS: number;
  log: Log;
}

/** The submissions of a team that were refused. */
interface TeamRefusals {
  total: number;
  /** When the last retry of those that got a time of their own is due; steady seconds. */
  lastRetryAt: number;
  loggedAt: number;
}

/**
 * Decides at once whether a submission may wait for its record. A team's submissions wait only for those
 * of its own and for the turns of other teams, so a team that overruns is refused while others are
 * accepted. Each controller decides alone, by its own share of the state service's rates.
 */
export class Admission {
  private readonly refusals = new Map<string, TeamRefusals>();

  constructor(private readonly options: AdmissionOptions) {}

  /** Null if a submission of the team may wait; else the seconds after which its user is to retry. */
  refusalDelayS(team: string): number | null {
    const { client, commits, heartbeatIntervalS } = this.options;
    const { expected, longest } = client.usersWaitS(commits.changesAhead(team) + 1);
    const isWaitAcceptable =
      expected <= MAX_WAIT_INTERVALS * heartbeatIntervalS && longest <= MAX_WORST_CASE_WAIT_S;
    if (!commits.isFull && isWaitAcceptable) return null;
    return this.refuse(team);
  }

  /**
   * Seconds after which a user is to retry whose request the state service did not serve. They grow with
   * the time for which the service has failed, so that fewer retry in vain and not all at its end.
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
   * Records a refusal; the seconds after which its user is to retry. Retries come one by one, as fast as
   * the team's submissions are recorded and after all that wait now. Past the longest time that a user
   * waits they are spread at random.
   */
  refuse(team: string): number {
    const { runtime, client, commits } = this.options;
    const { expected } = client.usersWaitS(commits.changesAhead(team) + 1);
    const now = runtime.clock.now();
    const refusals = this.getOrCreateRefusals(team);
    const recordsPerS = client.usersChangesPerS * commits.shareOf(team);
    const retryAt = Math.max(refusals.lastRetryAt, now + expected) + 1 / recordsPerS;
    const hasOwnRetryTime = retryAt <= now + MAX_RETRY_AFTER_S;
    if (hasOwnRetryTime) refusals.lastRetryAt = retryAt;
    const retryAfterS = hasOwnRetryTime
      ? retryAt - now
      : MAX_RETRY_AFTER_S * (1 - runtime.random() / 2);
    this.countRefusal(team, refusals, retryAfterS);
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

  private countRefusal(team: string, refusals: TeamRefusals, retryAfterS: number): void {
    const { runtime, heartbeatIntervalS, log } = this.options;
    refusals.total++;
    const now = runtime.clock.now();
    if (now < refusals.loggedAt + INTERVALS_BETWEEN_LOG_LINES * heartbeatIntervalS) return;
    refusals.loggedAt = now;
    log.info({ team, refused: refusals.total, retryAfterS }, 'submissions refused');
  }
}
