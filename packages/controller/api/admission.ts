import { type GroupCommit, type StateClient } from '#store';
import type { Runtime } from '#wire';
import type { Log } from '../observability/log.js';

/** Report periods that a submission may be expected to wait for its record; past that it is refused. */
const MAX_WAIT_PERIODS = 2;
/** The same if the other controllers begin to take all that they may: users hear an answer within 5 s or not at all. */
const MAX_LONGEST_WAIT_S = 4;
/** Users wait so long at the most, whatever Retry-After says (docs of the protocol); seconds. */
const MAX_RETRY_AFTER_S = 30;
/** Part of the time for which the state service has failed over which returning users spread. */
const FAILURE_SPREAD = 1 / 4;
/** Report periods over which they spread at the most. */
const FAILURE_SPREAD_PERIODS = 4;
/** Report periods between two lines of the log about one team. */
const LOG_PERIODS = 10;

export interface AdmissionOptions {
  runtime: Runtime;
  client: Pick<StateClient, 'usersChangesPerS' | 'usersWaitS' | 'failingSince'>;
  commits: Pick<GroupCommit, 'ahead' | 'shareOf' | 'full'>;
  heartbeatIntervalS: number;
  log: Log;
}

/** What is known of a team's submissions that were refused. */
interface Refusals {
  total: number;
  /** When the last of those that were told to come back is due; steady seconds. */
  lastReturnAt: number;
  loggedAt: number;
}

/**
 * Decides at once whether a submission may wait for its record. A team's submissions wait only for those of its
 * own and for the turns of the teams beside it, so one that overruns is refused while others are accepted.
 * Controllers decide alone: each knows its own part of the state service's rate.
 */
export class Admission {
  private readonly refusals = new Map<string, Refusals>();

  constructor(private readonly options: AdmissionOptions) {}

  /** Null if the submission may wait; else after how many seconds its user is to come again. */
  refuse(team: string): number | null {
    const { client, commits, heartbeatIntervalS } = this.options;
    const { expected, longest } = client.usersWaitS(commits.ahead(team) + 1);
    const isInTime =
      expected <= MAX_WAIT_PERIODS * heartbeatIntervalS && longest <= MAX_LONGEST_WAIT_S;
    if (!commits.full && isInTime) return null;
    return this.retryAfterS(team);
  }

  /**
   * After how many seconds a user is to come again whose request the state service did not serve. It grows with
   * the time for which nobody has been served, so that fewer come in vain and not all return at its end.
   */
  retryAfterFailureS(): number {
    const { runtime, client, heartbeatIntervalS } = this.options;
    const failingForS = Math.max(0, runtime.clock.now() - client.failingSince);
    const spreadS = Math.min(
      FAILURE_SPREAD_PERIODS * heartbeatIntervalS,
      failingForS * FAILURE_SPREAD,
    );
    return heartbeatIntervalS + runtime.random() * spreadS;
  }

  /** Submissions refused since the start, by team. */
  totals(): Record<string, number> {
    return Object.fromEntries([...this.refusals].map(([team, { total }]) => [team, total]));
  }

  /**
   * After how many seconds the user of a submission that is refused is to come again. Those who were refused
   * return one by one, as fast as their team's submissions are recorded and after all that wait now. Past
   * the longest time that a user waits they are spread by chance.
   */
  retryAfterS(team: string): number {
    const { runtime, client, commits } = this.options;
    const { expected } = client.usersWaitS(commits.ahead(team) + 1);
    const now = runtime.clock.now();
    const refusals = this.refusalsOf(team);
    const perSecond = client.usersChangesPerS * commits.shareOf(team);
    const returnAt = Math.max(refusals.lastReturnAt, now + expected) + 1 / perSecond;
    const isWithin = returnAt <= now + MAX_RETRY_AFTER_S;
    if (isWithin) refusals.lastReturnAt = returnAt;
    const retryAfterS = isWithin ? returnAt - now : MAX_RETRY_AFTER_S * (1 - runtime.random() / 2);
    this.recordRefusal(team, refusals, retryAfterS);
    return retryAfterS;
  }

  private refusalsOf(team: string): Refusals {
    let refusals = this.refusals.get(team);
    if (!refusals) {
      refusals = { total: 0, lastReturnAt: -Infinity, loggedAt: -Infinity };
      this.refusals.set(team, refusals);
    }
    return refusals;
  }

  private recordRefusal(team: string, refusals: Refusals, retryAfterS: number): void {
    const { runtime, heartbeatIntervalS, log } = this.options;
    refusals.total++;
    const now = runtime.clock.now();
    if (now < refusals.loggedAt + LOG_PERIODS * heartbeatIntervalS) return;
    refusals.loggedAt = now;
    log.info({ team, refused: refusals.total, retryAfterS }, 'submissions refused');
  }
}
