/** Heartbeats, answers and direct commands of the model, with their delays and losses. */
import type { Order, Heartbeat } from '#wire';
import type { Machine, HeartbeatOutcome } from '#core';
import type { Chance } from '../../random.js';
import type { MessageQueue } from './message-queue.js';
import type { LeaderMistake } from './mistakes.js';
import type { LeaderModel } from './leader.js';
import { HEARTBEAT_TIMEOUT_S, COMMAND_TIMEOUT_S, MAX_DELAY_S, LEASE_S } from './timing.js';
import type { WorkerModel } from './worker.js';

/** Share of heartbeats, and of answers, that are lost. */
const MESSAGE_LOSS_RATE = 0.08;
/** Share of heartbeats of which a copy comes late, and how late at the most. */
const LATE_COPY_RATE = 0.15;
const MAX_COPY_DELAY_S = 3 * LEASE_S;
/** Share of direct commands that come late, and how late at the most. */
const LATE_COMMAND_RATE = 0.15;
const MAX_LATE_COMMAND_DELAY_S = 4 * LEASE_S;
/** Share of direct commands whose answer is lost. */
const LOST_COMMAND_ANSWER_RATE = 0.1;

/** A worker and what it knows of its connection to a leader. */
export interface WorkerConnection {
  worker: WorkerModel;
  nextHeartbeatAt: number;
  /** Until when it waits for the answer to its last heartbeat; -Infinity once it has come. */
  answerDueAt: number;
  /** The former leader that a cut-off worker still reaches. */
  formerLeader: LeaderModel | null;
}

/** What the traffic needs from the world. */
export interface TrafficOptions {
  chance: Chance;
  mail: MessageQueue;
  seededFault: LeaderMistake;
  /** The leader of the newest term; null while there is none. */
  leader: () => LeaderModel | null;
}

/** Messages between workers and leaders, which are delayed, lost, repeated and come late. */
export class Traffic {
  constructor(private readonly options: TrafficOptions) {}

  /** A worker that lost its leader stays with the one that answered it last, if that still does. */
  sendHeartbeat(connection: WorkerConnection, now: number): void {
    const { chance, mail, leader } = this.options;
    const heartbeat = connection.worker.heartbeat();
    const target = connection.formerLeader ?? leader();
    connection.answerDueAt = now + HEARTBEAT_TIMEOUT_S;
    const deliver = (at: number) => {
      this.deliverHeartbeat({ connection, heartbeat, target, sentAt: now }, at);
    };
    if (!chance.hit(MESSAGE_LOSS_RATE)) mail.schedule(now + chance.next() * MAX_DELAY_S, deliver);
    // A copy from seconds to well over a lease late; its answer reaches nobody.
    if (chance.hit(LATE_COPY_RATE)) {
      mail.schedule(now + chance.next() * MAX_COPY_DELAY_S, (at) => {
        this.deliverCopy(heartbeat, at);
      });
    }
  }

  /** Direct commands may take long, arrive late, or be answered late or never. */
  sendCommands(from: LeaderModel, contacts: WorkerConnection[], now: number): void {
    for (const { worker } of contacts) {
      const machine = from.fleet.machines.get(worker.name);
      const orders = machine ? from.fleet.directOrders.nextOrders(machine, now) : [];
      if (machine && orders.length > 0) this.sendCommand({ from, worker, machine, orders }, now);
    }
  }

  private deliverHeartbeat(sent: SentHeartbeat, now: number): void {
    const { mail, chance } = this.options;
    const { connection, heartbeat, target, sentAt } = sent;
    if (!target) return;
    if (now < target.frozenUntil) {
      mail.schedule(target.frozenUntil, (at) => {
        this.deliverHeartbeat(sent, at);
      });
      return;
    }
    if (target.hasSteppedDown(now)) {
      connection.formerLeader = null;
      return;
    }
    this.rewindForRepeat(target, heartbeat);
    const outcome = target.fleet.heartbeats.handle(heartbeat, now);
    const { fencingToken, orders } = answerTo(outcome, target, heartbeat);
    const arrivesAt = now + chance.next() * MAX_DELAY_S;
    if (chance.hit(MESSAGE_LOSS_RATE)) return;
    mail.schedule(arrivesAt, (at) => {
      if (at - sentAt > HEARTBEAT_TIMEOUT_S || connection.answerDueAt === -Infinity) return;
      connection.answerDueAt = -Infinity;
      connection.worker.handleAnswer(
        { agentEpoch: heartbeat.agentEpoch, sentAt },
        fencingToken,
        orders,
        at,
      );
    });
  }

  private deliverCopy(heartbeat: Heartbeat, now: number): void {
    const leader = this.options.leader();
    if (!leader || leader.hasSteppedDown(now)) return;
    this.rewindForLateCopy(leader, heartbeat);
    leader.fleet.heartbeats.handle(heartbeat, now);
  }

  /** The seeded fault of taking a copy of an old heartbeat for a new one. */
  private rewindForRepeat({ fleet }: LeaderModel, heartbeat: Heartbeat): void {
    if (this.options.seededFault !== 'believes-old-copies') return;
    const machine = fleet.machines.get(heartbeat.machine);
    if (machine && machine.lastMessageSequence >= heartbeat.sequence) {
      machine.lastMessageSequence = machine.lastHeartbeatSequence = heartbeat.sequence - 1;
    }
  }

  /** The same for a copy that is known to be late: both numbers become equal. */
  private rewindForLateCopy({ fleet }: LeaderModel, heartbeat: Heartbeat): void {
    if (this.options.seededFault !== 'believes-old-copies') return;
    const machine = fleet.machines.get(heartbeat.machine);
    if (!machine) return;
    const sequence = Math.min(machine.lastMessageSequence, heartbeat.sequence - 1);
    machine.lastMessageSequence = machine.lastHeartbeatSequence = sequence;
  }

  private sendCommand({ from, worker, machine, orders }: SentCommand, now: number): void {
    const { chance, mail, seededFault } = this.options;
    const { directOrders } = from.fleet;
    const { fencingToken, agentEpoch } = machine;
    const timesOutAt = now + COMMAND_TIMEOUT_S;
    let answered = false;
    const maxDelayS = chance.hit(LATE_COMMAND_RATE) ? MAX_LATE_COMMAND_DELAY_S : MAX_DELAY_S;
    mail.schedule(now + chance.next() * maxDelayS, (at) => {
      const heartbeat = worker.handleCommand(fencingToken, agentEpoch, orders, at);
      if (at >= timesOutAt || chance.hit(LOST_COMMAND_ANSWER_RATE)) return;
      answered = true;
      const outcome = heartbeat
        ? ({ kind: 'executed', heartbeat } as const)
        : ({ kind: 'refused' } as const);
      directOrders.applyOutcome(machine, orders, outcome, at);
    });
    mail.schedule(timesOutAt, (at) => {
      if (answered) return;
      directOrders.applyOutcome(machine, orders, { kind: 'unknown' }, at);
      if (seededFault === 'forgets-late-starts') machine.unacknowledgedStarts.clear();
    });
  }
}

interface SentHeartbeat {
  connection: WorkerConnection;
  heartbeat: Heartbeat;
  target: LeaderModel | null;
  sentAt: number;
}

interface SentCommand {
  from: LeaderModel;
  worker: WorkerModel;
  machine: Machine;
  orders: Order[];
}

/** A late copy is answered too, with a fencing token that no worker obeys. */
function answerTo(outcome: HeartbeatOutcome, { fleet }: LeaderModel, heartbeat: Heartbeat) {
  if (outcome.kind !== 'answer') return { fencingToken: 0, orders: [] };
  const machine = fleet.machines.get(heartbeat.machine);
  if (!machine) throw new Error(`${heartbeat.machine} was answered and is not in the fleet state`);
  return {
    fencingToken: machine.fencingToken,
    orders: outcome.orders,
  };
}
