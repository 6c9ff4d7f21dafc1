/** Simulates the heartbeats, answers and direct commands between workers and leaders, with delays and losses. */
import type { Order, Heartbeat } from '#wire';
import type { Machine, HeartbeatOutcome } from '#core';
import type { SeededRandom } from '../../random.js';
import type { MessageQueue } from './message-queue.js';
import type { SeededLeaderFault } from './seeded-faults.js';
import type { LeaderModel } from './leader.js';
import { HEARTBEAT_TIMEOUT_S, COMMAND_TIMEOUT_S, MAX_DELAY_S, LEASE_S } from './timing.js';
import type { WorkerModel } from './worker.js';

/** Share of heartbeats, and of their answers, that are lost. */
const MESSAGE_LOSS_RATE = 0.08;
/** Share of heartbeats of which a late copy arrives, and the longest delay of such a copy. */
const LATE_COPY_RATE = 0.15;
const MAX_COPY_DELAY_S = 3 * LEASE_S;
/** Share of direct commands that arrive late, and their longest delay. */
const LATE_COMMAND_RATE = 0.15;
const MAX_LATE_COMMAND_DELAY_S = 4 * LEASE_S;
/** Share of direct commands whose answer is lost. */
const LOST_COMMAND_ANSWER_RATE = 0.1;
/** Share of executed direct commands that arrive once more after their answer, and the longest delay of the copy. */
const REPEATED_COMMAND_RATE = 0.3;
const MAX_REPEATED_COMMAND_DELAY_S = 2 * LEASE_S;

/** A worker and the state of its connection to a leader. */
export interface WorkerConnection {
  worker: WorkerModel;
  nextHeartbeatAt: number;
  /** Time until which the worker waits for the answer to its last heartbeat; -Infinity if no heartbeat is in flight. */
  answerDueAt: number;
  /** The former leader to which the worker still sends its heartbeats. */
  formerLeader: LeaderModel | null;
}

/** Dependencies of the traffic. */
export interface TrafficOptions {
  chance: SeededRandom;
  messageQueue: MessageQueue;
  seededFault: SeededLeaderFault;
  /** The leader of the newest term; null while there is none. */
  leader: () => LeaderModel | null;
}

/** Delivers the messages between workers and leaders: delayed, lost, duplicated or late. */
export class Traffic {
  constructor(private readonly options: TrafficOptions) {}

  /** Sends a heartbeat to the former leader as long as it answers this worker, otherwise to the current leader. */
  sendHeartbeat(connection: WorkerConnection, now: number): void {
    const { chance, messageQueue, leader } = this.options;
    const heartbeat = connection.worker.heartbeat();
    const target = connection.formerLeader ?? leader();
    connection.answerDueAt = now + HEARTBEAT_TIMEOUT_S;
    const deliver = (at: number) => {
      this.deliverHeartbeat({ connection, heartbeat, target, sentAt: now }, at);
    };
    if (!chance.withProbability(MESSAGE_LOSS_RATE))
      messageQueue.schedule(now + chance.next() * MAX_DELAY_S, deliver);
    // A late copy of the heartbeat can arrive long after the worker's lease has expired. Its answer is discarded.
    if (chance.withProbability(LATE_COPY_RATE)) {
      messageQueue.schedule(now + chance.next() * MAX_COPY_DELAY_S, (at) => {
        this.deliverCopy(heartbeat, at);
      });
    }
  }

  /** Sends the direct commands that are due. Each may arrive late, and may be answered late or never. */
  sendCommands(from: LeaderModel, connections: WorkerConnection[], now: number): void {
    for (const { worker } of connections) {
      const machine = from.fleet.machines.get(worker.name);
      const orders = machine ? from.fleet.directOrders.nextOrders(machine, now) : [];
      if (machine && orders.length > 0) this.sendCommand({ from, worker, machine, orders }, now);
    }
  }

  private deliverHeartbeat(sent: SentHeartbeat, now: number): void {
    const { messageQueue, chance } = this.options;
    const { connection, heartbeat, target, sentAt } = sent;
    if (!target) return;
    if (now < target.frozenUntil) {
      messageQueue.schedule(target.frozenUntil, (at) => {
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
    if (chance.withProbability(MESSAGE_LOSS_RATE)) return;
    messageQueue.schedule(arrivesAt, (at) => {
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

  /** Seeded fault: rewinds the stored sequence numbers so that a repeated heartbeat counts as new. */
  private rewindForRepeat({ fleet }: LeaderModel, heartbeat: Heartbeat): void {
    if (this.options.seededFault !== 'accepts-repeated-heartbeats') return;
    const machine = fleet.machines.get(heartbeat.machine);
    if (machine && machine.lastMessageSequence >= heartbeat.sequence) {
      machine.lastMessageSequence = machine.lastHeartbeatSequence = heartbeat.sequence - 1;
    }
  }

  /** Seeded fault: rewinds the stored sequence numbers for a late copy, and makes both numbers equal. */
  private rewindForLateCopy({ fleet }: LeaderModel, heartbeat: Heartbeat): void {
    if (this.options.seededFault !== 'accepts-repeated-heartbeats') return;
    const machine = fleet.machines.get(heartbeat.machine);
    if (!machine) return;
    const sequence = Math.min(machine.lastMessageSequence, heartbeat.sequence - 1);
    machine.lastMessageSequence = machine.lastHeartbeatSequence = sequence;
  }

  private sendCommand({ from, worker, machine, orders }: SentCommand, now: number): void {
    const { chance, messageQueue, seededFault } = this.options;
    const { directOrders } = from.fleet;
    const { fencingToken, agentEpoch } = machine;
    const timesOutAt = now + COMMAND_TIMEOUT_S;
    let answered = false;
    const maxDelayS = chance.withProbability(LATE_COMMAND_RATE)
      ? MAX_LATE_COMMAND_DELAY_S
      : MAX_DELAY_S;
    messageQueue.schedule(now + chance.next() * maxDelayS, (at) => {
      const heartbeat = worker.handleCommand(fencingToken, agentEpoch, orders, at);
      if (at >= timesOutAt || chance.withProbability(LOST_COMMAND_ANSWER_RATE)) return;
      answered = true;
      const outcome = heartbeat
        ? ({ kind: 'executed', heartbeat } as const)
        : ({ kind: 'refused' } as const);
      if (heartbeat && chance.withProbability(REPEATED_COMMAND_RATE))
        messageQueue.schedule(at + chance.next() * MAX_REPEATED_COMMAND_DELAY_S, (copyAt) => {
          worker.handleCommand(fencingToken, agentEpoch, orders, copyAt);
        });
      if (seededFault === 'trusts-answered-starts') machine.directStarts.clear();
      directOrders.applyOutcome(machine, orders, outcome, at);
    });
    messageQueue.schedule(timesOutAt, (at) => {
      if (answered) return;
      directOrders.applyOutcome(machine, orders, { kind: 'unknown' }, at);
      if (seededFault === 'forgets-unacknowledged-starts') {
        machine.unacknowledgedStarts.clear();
        machine.directStarts.clear();
      }
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

/** Returns the answer to a heartbeat. The answer to a late copy has a fencing token that no worker obeys. */
function answerTo(outcome: HeartbeatOutcome, { fleet }: LeaderModel, heartbeat: Heartbeat) {
  if (outcome.kind !== 'answer') return { fencingToken: 0, orders: [] };
  const machine = fleet.machines.get(heartbeat.machine);
  if (!machine) throw new Error(`${heartbeat.machine} was answered and is not in the fleet state`);
  return {
    fencingToken: machine.fencingToken,
    orders: outcome.orders,
  };
}
