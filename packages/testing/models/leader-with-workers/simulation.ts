/** Runs the randomised model of a leader with its workers. */
import { SeededRandom } from '../../random.js';
import { LeaderChecks } from './checks.js';
import { DurableRecords } from './durable-records.js';
import { MessageQueue } from './message-queue.js';
import type { SeededLeaderFault, LeaderViolation } from './seeded-faults.js';
import { LeaderModel } from './leader.js';
import { randomJob, taskDurationS } from './random-job.js';
import { CAMPAIGN_PAUSE_S, LEASE_S, HEARTBEAT_INTERVAL_S, STEP_S } from './timing.js';
import { Traffic, type WorkerConnection } from './traffic.js';
import { WorkerModel } from './worker.js';

const WORKERS = 5;
const MAX_JOBS = 60;
/** When the first leader is elected. */
const FIRST_CAMPAIGN_S = 1;
/** Probabilities per step. */
const SUBMISSION_PROBABILITY = 0.1;
const CANCELLATION_PROBABILITY = 0.06;
const LEADER_LOSS_PROBABILITY = 0.008;
const WORKER_SILENCE_PROBABILITY = 0.001;

/**
 * Runs the model with one seed and returns the violated invariants: none, unless a fault is seeded. Simulates leaders
 * that are elected and lost, workers, and a network that delays, loses and duplicates messages, on a simulated clock.
 * The leaders run the production code of core.
 */
export function runLeaderWithWorkersModel(
  seed: number,
  seededFault: SeededLeaderFault,
  lengthS = 150,
): Set<LeaderViolation> {
  return new LeaderSimulation(seed, seededFault).run(lengthS);
}

class LeaderSimulation {
  private readonly chance: SeededRandom;
  private readonly records = new DurableRecords();
  private readonly messageQueue = new MessageQueue();
  private readonly traffic: Traffic;
  private readonly connections: WorkerConnection[];
  private readonly checks: LeaderChecks;
  private leader: LeaderModel | null = null;
  /** The last leader that lost the state service. */
  private formerLeader: LeaderModel | null = null;
  private campaignAt = FIRST_CAMPAIGN_S;
  private submitted = 0;
  private now = 0;

  constructor(
    seed: number,
    private readonly seededFault: SeededLeaderFault,
  ) {
    const { messageQueue } = this;
    const chance = new SeededRandom(seed);
    this.chance = chance;
    const workers = Array.from({ length: WORKERS }, (_, index) => this.makeWorker(index));
    this.connections = workers.map((worker) => ({
      worker,
      nextHeartbeatAt: chance.next(),
      answerDueAt: -Infinity,
      formerLeader: null,
    }));
    this.checks = new LeaderChecks(this.records, workers);
    this.traffic = new Traffic({ chance, messageQueue, seededFault, leader: () => this.leader });
  }

  run(lengthS: number): Set<LeaderViolation> {
    for (; this.now < lengthS; this.now += STEP_S) this.step();
    if (this.seededFault === 'none') this.checks.checkEnd();
    return this.checks.violations;
  }

  private step(): void {
    const { now, messageQueue, traffic, connections } = this;
    this.changeJobs();
    this.changeLeader();
    for (const connection of connections) this.stepWorker(connection);
    messageQueue.deliverDue(now);
    this.leader?.step(now);
    if (this.leader) traffic.sendCommands(this.leader, connections, now);
    // A former leader that ends its freeze sends the commands that were due, if its leader lease may still hold.
    const { formerLeader } = this;
    if (formerLeader && now >= formerLeader.frozenUntil && !formerLeader.hasSteppedDown(now)) {
      traffic.sendCommands(formerLeader, connections, now);
    }
    this.checks.checkStep(now);
  }

  private makeWorker(index: number): WorkerModel {
    return new WorkerModel({
      name: `n-${index}`,
      zone: index % 2 ? 'a' : 'b',
      spot: index === WORKERS - 1,
      leaseS: LEASE_S,
      taskDurationS: (job) => taskDurationS(this.records.jobOf(job)),
      onStart: (worker, task) => {
        this.checks.checkStart(worker, task);
      },
    });
  }

  private changeJobs(): void {
    const { chance, records } = this;
    if (chance.withProbability(SUBMISSION_PROBABILITY) && this.submitted < MAX_JOBS) {
      records.accept(randomJob(chance, ++this.submitted));
    }
    if (!chance.withProbability(CANCELLATION_PROBABILITY)) return;
    const open = records.openJobs();
    if (open.length > 0) records.cancel(open[chance.int(0, open.length - 1)], this.now);
  }

  /** Ends the leader at random: it crashes, or loses the state service and still answers workers that reach it. */
  private changeLeader(): void {
    const { chance, now, leader } = this;
    if (leader && chance.withProbability(LEADER_LOSS_PROBABILITY)) {
      if (chance.withProbability(0.5)) this.depose(leader);
      this.leader = null;
      this.campaignAt = now + CAMPAIGN_PAUSE_S;
    }
    if (!this.leader && now >= this.campaignAt) {
      this.leader = new LeaderModel(this.records, this.seededFault, now);
    }
  }

  private depose(leader: LeaderModel): void {
    const { chance, now, connections } = this;
    this.formerLeader = leader;
    leader.deposedAt = now;
    if (chance.withProbability(0.5)) leader.frozenUntil = now + chance.next() * 0.9 * LEASE_S;
    const lastDisconnected = chance.int(0, connections.length - 1);
    for (const [index, connection] of connections.entries()) {
      connection.formerLeader =
        index <= lastDisconnected && chance.withProbability(0.7) ? leader : null;
    }
  }

  private stepWorker(connection: WorkerConnection): void {
    const { chance, now } = this;
    // The worker is silent for a while, as if the network held back or lost its heartbeats.
    if (chance.withProbability(WORKER_SILENCE_PROBABILITY))
      connection.nextHeartbeatAt = now + chance.next() * 2 * LEASE_S;
    connection.worker.advance(now);
    this.checks.recordDone(connection.worker);
    if (now < connection.nextHeartbeatAt || now <= connection.answerDueAt) return;
    connection.nextHeartbeatAt = now + HEARTBEAT_INTERVAL_S * (0.75 + chance.next() / 2);
    this.traffic.sendHeartbeat(connection, now);
  }
}
