/** Plays random worlds of leaders and workers. */
import { Chance } from '../../random.js';
import { LeaderChecks } from './checks.js';
import { DurableRecords } from './durable-records.js';
import { MessageQueue } from './message-queue.js';
import type { LeaderMistake, LeaderViolation } from './mistakes.js';
import { LeaderModel } from './leader.js';
import { randomJob, taskDurationS } from './random-job.js';
import { CAMPAIGN_PAUSE_S, LEASE_S, HEARTBEAT_INTERVAL_S, STEP_S } from './timing.js';
import { Traffic, type WorkerConnection } from './traffic.js';
import { WorkerModel } from './worker.js';

const WORKERS = 5;
const MAX_JOBS = 60;
/** When the first leader is elected. */
const FIRST_CAMPAIGN_S = 1;
/** Chances in one step. */
const SUBMISSION_PROBABILITY = 0.1;
const CANCELLATION_PROBABILITY = 0.06;
const LEADER_LOSS_PROBABILITY = 0.008;
const WORKER_SILENCE_PROBABILITY = 0.001;

/**
 * Leaders that come and go, workers, and a network that delays, loses and repeats messages, on a
 * simulated clock. It runs the production code of core and models everything around it. Returns the
 * broken rules found, which must be none unless a fault was seeded.
 */
export function playLeaders(
  seed: number,
  seededFault: LeaderMistake,
  lengthS = 150,
): Set<LeaderViolation> {
  return new LeaderSimulation(seed, seededFault).run(lengthS);
}

class LeaderSimulation {
  private readonly chance: Chance;
  private readonly records = new DurableRecords();
  private readonly mail = new MessageQueue();
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
    private readonly seededFault: LeaderMistake,
  ) {
    const { mail } = this;
    const chance = new Chance(seed);
    this.chance = chance;
    const workers = Array.from({ length: WORKERS }, (_, index) => this.makeWorker(index));
    this.connections = workers.map((worker) => ({
      worker,
      nextHeartbeatAt: chance.next(),
      answerDueAt: -Infinity,
      formerLeader: null,
    }));
    this.checks = new LeaderChecks(this.records, workers);
    this.traffic = new Traffic({ chance, mail, seededFault, leader: () => this.leader });
  }

  run(lengthS: number): Set<LeaderViolation> {
    for (; this.now < lengthS; this.now += STEP_S) this.step();
    if (this.seededFault === 'none') this.checks.checkEnd();
    return this.checks.violations;
  }

  private step(): void {
    const { now, mail, traffic, connections } = this;
    this.changeJobs();
    this.changeLeader();
    for (const contact of connections) this.stepWorker(contact);
    mail.deliverDue(now);
    this.leader?.step(now);
    if (this.leader) traffic.sendCommands(this.leader, connections, now);
    // One that wakes sends what was due, if its leader lease may still hold.
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
    if (chance.hit(SUBMISSION_PROBABILITY) && this.submitted < MAX_JOBS) {
      records.accept(randomJob(chance, ++this.submitted));
    }
    if (!chance.hit(CANCELLATION_PROBABILITY)) return;
    const open = records.openJobs();
    if (open.length > 0) records.cancel(open[chance.int(0, open.length - 1)], this.now);
  }

  /** Leaders crash, or lose the state service and go on answering those that still reach them. */
  private changeLeader(): void {
    const { chance, now, leader } = this;
    if (leader && chance.hit(LEADER_LOSS_PROBABILITY)) {
      if (chance.hit(0.5)) this.depose(leader);
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
    if (chance.hit(0.5)) leader.frozenUntil = now + chance.next() * 0.9 * LEASE_S;
    const lastDisconnected = chance.int(0, connections.length - 1);
    for (const [index, contact] of connections.entries()) {
      contact.formerLeader = index <= lastDisconnected && chance.hit(0.7) ? leader : null;
    }
  }

  private stepWorker(contact: WorkerConnection): void {
    const { chance, now } = this;
    // Silent for a while: the network holds its heartbeats back, or they are lost.
    if (chance.hit(WORKER_SILENCE_PROBABILITY))
      contact.nextHeartbeatAt = now + chance.next() * 2 * LEASE_S;
    contact.worker.advance(now);
    this.checks.recordDone(contact.worker);
    if (now < contact.nextHeartbeatAt || now <= contact.answerDueAt) return;
    contact.nextHeartbeatAt = now + HEARTBEAT_INTERVAL_S * (0.75 + chance.next() / 2);
    this.traffic.sendHeartbeat(contact, now);
  }
}
