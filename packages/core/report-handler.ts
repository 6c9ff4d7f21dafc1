import { Order, Report, taskName } from '#wire';
import { checkAnswerDelivery, DeliverySettings } from './answer-delivery.js';
import { ordersForAnswer } from './answer-orders.js';
import type { Assignments } from './assignments.js';
import type { FleetTables } from './fleet-tables.js';
import type { Machine } from './model.js';
import type { StartFencing } from './start-fencing.js';
import type { TaskReports } from './task-reports.js';

/**
 * What to answer a report. A late copy renews nothing, reports nothing new, and its answer must not be
 * one that a worker could take as valid (docs/safety.md, point 6).
 */
export type ReportOutcome = { kind: 'answer'; orders: Order[] } | { kind: 'late-copy' };

const LATE_COPY: ReportOutcome = { kind: 'late-copy' };

/**
 * Orders of one answer about tasks that a report lists: with the starts of a full machine they stay
 * within what an answer may hold. The rest follows the next report, which lists what is left.
 */
const MAX_LISTED_ORDERS = 400;

/** Takes workers' reports in. */
export class ReportHandler {
  private readonly delivery: DeliverySettings;

  constructor(
    private readonly tables: FleetTables,
    private readonly assignments: Assignments,
    private readonly fencing: StartFencing,
    private readonly tasks: TaskReports,
  ) {
    const { leaseS, reportS } = tables.settings;
    this.delivery = { leaseS, reportS, term: tables.term };
  }

  /** Takes a report in; times are seconds of the steady clock. */
  handle(report: Report, now: number): ReportOutcome {
    if (this.tables.released.has(report.machine)) return LATE_COPY;
    const machine = this.machineOf(report, now);
    if (report.session < machine.session) return LATE_COPY;
    if (report.session === machine.session) {
      if (report.seq <= machine.lastReportSeq) return LATE_COPY;
      if (report.seq <= machine.lastMessageSeq) return this.overtaken(machine, report, now);
    }
    checkAnswerDelivery(machine, report, this.delivery, now);
    if (report.session > machine.session) this.sessionChanged(machine, now);
    this.markUp(machine, now);
    this.noteMachine(machine, report, now);
    const forgets = this.takeTasks(machine, report, now);
    machine.answeredAt = now;
    return { kind: 'answer', orders: [...forgets, ...ordersForAnswer(machine, report.seq)] };
  }

  private machineOf(report: Report, now: number): Machine {
    const known = this.tables.machines.get(report.machine);
    if (known) return known;
    const { machine: name, addr, type, zone, spot } = report;
    return this.tables.machines.register({ name, addr, type, zone, spot }, 'up', now);
  }

  /**
   * The answer to a direct command came before this report. Its tasks are old, but the worker waits for
   * this answer and it renews the lease.
   */
  private overtaken(machine: Machine, report: Report, now: number): ReportOutcome {
    machine.lastReportSeq = report.seq;
    machine.answeredAt = now;
    return { kind: 'answer', orders: ordersForAnswer(machine, report.seq) };
  }

  /**
   * The worker killed and forgot everything when its lease ran out. What an earlier term may have
   * started is not judged by this: the older session may be known from a late copy only, and the start
   * may belong to the newer one.
   */
  private sessionChanged(machine: Machine, now: number): void {
    if (machine.session > 0) {
      for (const assignment of [...machine.tasks.values()]) {
        const { startSent, reported } = assignment;
        if (startSent || reported !== null) this.assignments.end(assignment, 'lost', false, now);
      }
    }
    this.fencing.sessionChanged(machine);
  }

  private markUp(machine: Machine, now: number): void {
    if (machine.state === 'up') return;
    if (machine.state === 'booting') this.tables.listener.machineUp(machine, now);
    this.tables.machines.setState(machine, 'up');
    machine.idleSince = now;
  }

  private noteMachine(machine: Machine, report: Report, now: number): void {
    machine.addr = report.addr;
    machine.session = report.session;
    machine.lastMessageSeq = report.seq;
    machine.lastReportSeq = report.seq;
    const reclaimAt = report.noticeS === null ? null : now + report.noticeS;
    this.tables.machines.noteReclaim(machine, reclaimAt);
    if (report.token >= this.tables.term) machine.termConfirmed = true;
    this.fencing.tokenSeen(machine, report.token);
    this.fencing.fenceOverdueStarts(machine, now);
  }

  private takeTasks(machine: Machine, report: Report, now: number): Order[] {
    const listed = new Set(report.tasks.map((task) => taskName(task.job, task.index)));
    const orders = mostUrgent(this.tasks.allListed(machine, report.tasks, now));
    for (const [name, assignment] of [...machine.tasks]) {
      if (!listed.has(name)) this.tasks.absent(assignment, report, now);
    }
    return orders;
  }
}

/** As many as one answer takes: what is to be stopped before what is to be forgotten. */
function mostUrgent(orders: Order[]): Order[] {
  if (orders.length <= MAX_LISTED_ORDERS) return orders;
  const stops = orders.filter(({ op }) => op === 'stop');
  const others = orders.filter(({ op }) => op !== 'stop');
  return [...stops, ...others].slice(0, MAX_LISTED_ORDERS);
}
