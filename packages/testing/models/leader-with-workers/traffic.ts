import type { Order, Heartbeat } from '#wire';
import type { Machine, HeartbeatOutcome } from '#core';
import type { Chance } from '../../random.js';
import type { Mail } from './mail.js';
import type { OwnerMistake } from './mistakes.js';
import type { OwnerModel } from './leader.js';
import { ANSWER_LIFE_S, COMMAND_LIFE_S, DELAY_S, LEASE_S } from './timing.js';
import type { WorkerModel } from './worker.js';

/** Share of reports, and of answers, that are lost. */
const LOST = 0.08;
/** Share of reports of which a copy comes late, and how late at the most. */
const COPIED = 0.15;
const COPY_DELAY_S = 3 * LEASE_S;
/** Share of direct commands that come late, and how late at the most. */
const LATE_COMMANDS = 0.15;
const COMMAND_DELAY_S = 4 * LEASE_S;
/** Share of direct commands whose answer is lost. */
const LOST_COMMAND_ANSWERS = 0.1;

/** A worker and what it knows of its connection to an owner. */
export interface WorkerContact {
  worker: WorkerModel;
  nextReportAt: number;
  /** Until when it waits for the answer to its last report; -Infinity once it has come. */
  awaitsAnswerUntil: number;
  /** The former owner that a cut-off worker still reaches. */
  follows: OwnerModel | null;
}

export interface TrafficOptions {
  chance: Chance;
  mail: Mail;
  mistake: OwnerMistake;
  /** The owner of the newest term; null while there is none. */
  owner: () => OwnerModel | null;
}

/** Messages between workers and owners, which are delayed, lost, repeated and come late. */
export class Traffic {
  constructor(private readonly options: TrafficOptions) {}

  /** A worker that lost its owner stays with the one that answered it last, if that still does. */
  sendReport(contact: WorkerContact, now: number): void {
    const { chance, mail, owner } = this.options;
    const report = contact.worker.report();
    const target = contact.follows ?? owner();
    contact.awaitsAnswerUntil = now + ANSWER_LIFE_S;
    const deliver = (at: number) =>
      this.deliverReport({ contact, report, target, sentAt: now }, at);
    if (!chance.hit(LOST)) mail.post(now + chance.next() * DELAY_S, deliver);
    // A copy from seconds to well over a lease late; its answer reaches nobody.
    if (chance.hit(COPIED)) {
      mail.post(now + chance.next() * COPY_DELAY_S, (at) => this.deliverCopy(report, at));
    }
  }

  /** Direct commands may take long, arrive late, or be answered late or never. */
  sendCommands(from: OwnerModel, contacts: WorkerContact[], now: number): void {
    for (const { worker } of contacts) {
      const machine = from.fleet.machines.get(worker.name);
      const orders = machine ? from.fleet.directOrders.nextOrders(machine, now) : [];
      if (machine && orders.length > 0) this.sendCommand({ from, worker, machine, orders }, now);
    }
  }

  private deliverReport(sent: SentReport, now: number): void {
    const { mail, chance } = this.options;
    const { contact, report, target, sentAt } = sent;
    if (!target) return;
    if (now < target.thawsAt) {
      mail.post(target.thawsAt, (at) => this.deliverReport(sent, at));
      return;
    }
    if (target.hasGivenUp(now)) {
      contact.follows = null;
      return;
    }
    this.rewindNewer(target, report);
    const outcome = target.fleet.heartbeats.handle(report, now);
    const { token, orders } = answerTo(outcome, target, report);
    const arrivesAt = now + chance.next() * DELAY_S;
    if (chance.hit(LOST)) return;
    mail.post(arrivesAt, (at) => {
      if (at - sentAt > ANSWER_LIFE_S || contact.awaitsAnswerUntil === -Infinity) return;
      contact.awaitsAnswerUntil = -Infinity;
      contact.worker.answer({ session: report.agentEpoch, sentAt }, token, orders, at);
    });
  }

  private deliverCopy(report: Heartbeat, now: number): void {
    const owner = this.options.owner();
    if (!owner || owner.hasGivenUp(now)) return;
    this.rewind(owner, report);
    owner.fleet.heartbeats.handle(report, now);
  }

  /** The mistake of taking a copy of an old report for a new one. */
  private rewindNewer({ fleet }: OwnerModel, report: Heartbeat): void {
    if (this.options.mistake !== 'believes-old-copies') return;
    const machine = fleet.machines.get(report.machine);
    if (machine && machine.lastMessageSequence >= report.sequence) {
      machine.lastMessageSequence = machine.lastHeartbeatSequence = report.sequence - 1;
    }
  }

  /** The same for a copy that is known to be late: both numbers become equal. */
  private rewind({ fleet }: OwnerModel, report: Heartbeat): void {
    if (this.options.mistake !== 'believes-old-copies') return;
    const machine = fleet.machines.get(report.machine);
    if (!machine) return;
    const seq = Math.min(machine.lastMessageSequence, report.sequence - 1);
    machine.lastMessageSequence = machine.lastHeartbeatSequence = seq;
  }

  private sendCommand({ from, worker, machine, orders }: SentCommand, now: number): void {
    const { chance, mail, mistake } = this.options;
    const { directOrders } = from.fleet;
    const { fencingToken: token, agentEpoch: session } = machine;
    const givenUpAt = now + COMMAND_LIFE_S;
    let answered = false;
    const delayS = chance.hit(LATE_COMMANDS) ? COMMAND_DELAY_S : DELAY_S;
    mail.post(now + chance.next() * delayS, (at) => {
      const report = worker.command(token, session, orders, at);
      if (at >= givenUpAt || chance.hit(LOST_COMMAND_ANSWERS)) return;
      answered = true;
      const outcome = report
        ? ({ kind: 'executed', heartbeat: report } as const)
        : ({ kind: 'refused' } as const);
      directOrders.finish(machine, orders, outcome, at);
    });
    mail.post(givenUpAt, (at) => {
      if (answered) return;
      directOrders.finish(machine, orders, { kind: 'unknown' }, at);
      if (mistake === 'forgets-late-starts') machine.unacknowledgedStarts.clear();
    });
  }
}

interface SentReport {
  contact: WorkerContact;
  report: Heartbeat;
  target: OwnerModel | null;
  sentAt: number;
}

interface SentCommand {
  from: OwnerModel;
  worker: WorkerModel;
  machine: Machine;
  orders: Order[];
}

/** A late copy is answered too, with a token that no worker obeys. */
function answerTo(outcome: HeartbeatOutcome, { fleet }: OwnerModel, report: Heartbeat) {
  if (outcome.kind !== 'answer') return { token: 0, orders: [] };
  return { token: fleet.machines.get(report.machine)!.fencingToken, orders: outcome.orders };
}
