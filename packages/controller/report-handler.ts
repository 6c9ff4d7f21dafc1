import type { ServerResponse } from 'node:http';
import {
  answerToWire,
  MalformedBody,
  type Order,
  parseReport,
  redirectToWire,
  type Report,
} from '#wire';
import { readBody, reply } from './http-bodies.js';
import { mayReachLeader } from './owner-reach.js';
import type { ShardLeader } from './owner.js';
import type { ControllerServices } from './services.js';
import { WorkerConnections } from './sockets.js';
import type { StandbyRenewal } from './standby-renewal.js';
import type { StatusExchange } from './status-exchange.js';
import type { UnownedReports } from './unowned-reports.js';
import type { Vitals } from './vitals.js';

/** A token that every worker drops. */
const NO_TOKEN = 0;

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'jobs' | 'election' | 'log'>;

export interface ReportHandlerOptions extends Services {
  /** The owner of the present term if it may answer workers now. */
  activeLeader: () => ShardLeader | null;
  standby: StandbyRenewal;
  statuses: StatusExchange;
  /** A controller that was not heard for this long is out of reach. */
  silenceS: number;
  unownedReports: UnownedReports;
  vitals: Vitals;
}

/** Answers the reports of workers: as the owner if entitled, else with who owns. */
export class ReportHandler {
  private readonly connections = new WorkerConnections();

  constructor(private readonly options: ReportHandlerOptions) {}

  handle(body: unknown, res: ServerResponse): void {
    let report: Report;
    try {
      report = parseReport(readBody(body));
    } catch (err) {
      reply(res, 400, { error: err instanceof MalformedBody ? err.message : 'unreadable' });
      return;
    }
    this.options.vitals.reports++;
    const leader = this.options.activeLeader();
    if (leader === null) this.answerAsOther(report, res);
    else if (this.isNewer(report, leader.fleet.fencing.newestToken)) this.resign(report, res);
    else if (leader.ready) this.answer(leader, report, res);
    else this.renewLease(leader.term.term, report, res);
  }

  /** Not the owner, or not entitled. */
  private answerAsOther(report: Report, res: ServerResponse): void {
    const term = this.options.standby.renewableTerm();
    if (term !== null && !this.isNewer(report, term)) this.renewLease(term, report, res);
    else this.redirect(report, res);
  }

  /** Somebody commands this worker whose term is newer than the token. */
  private isNewer(report: Report, token: number): boolean {
    return report.token > token;
  }

  private resign({ machine, token }: Report, res: ServerResponse): void {
    this.options.log.info({ machine, token }, 'a newer token is out');
    this.options.election.resign();
    reply(res, 421, redirectToWire(null));
  }

  private redirect(report: Report, res: ServerResponse): void {
    const { settings, election, unownedReports } = this.options;
    unownedReports.note(report.machine);
    const { currentLeader } = election;
    if (!currentLeader || currentLeader.owner === settings.host_name)
      reply(res, 503, { error: 'no owner yet' });
    else if (this.mayReach(currentLeader.owner))
      reply(res, 421, redirectToWire(currentLeader.owner));
    else reply(res, 503, { error: 'the owner is out of reach' });
  }

  private mayReach(leader: string): boolean {
    const { runtime, statuses, silenceS } = this.options;
    return mayReachLeader({
      now: runtime.clock.now(),
      leader: statuses.statusOf(leader),
      peers: statuses.statuses(),
      silenceS,
    });
  }

  /**
   * Leases must not run out while an owner reads its records, nor because an owner has ended in an
   * outage. Nothing can be started, but what users have cancelled ends.
   */
  private renewLease(term: number, report: Report, res: ServerResponse): void {
    const stops: Order[] = report.tasks
      .filter((task) => task.state !== 'exited' && this.options.jobs.isCancelled(task.job))
      .map(({ job, index, attempt }) => ({ op: 'stop', graceS: 0, job, index, attempt }));
    reply(res, 200, answerToWire(term, stops));
  }

  private answer(leader: ShardLeader, report: Report, res: ServerResponse): void {
    const { machine } = report;
    const answer = leader.report(report);
    if (answer === null) {
      // A late copy: its worker must drop the answer, which is not counted as a renewal.
      reply(res, 200, answerToWire(NO_TOKEN, []));
      return;
    }
    this.connections.heard(machine, res.socket);
    reply(res, 200, answerToWire(answer.token, answer.orders));
  }
}
