import { Chance } from '../../random.js';
import { OwnerChecks } from './checks.js';
import { DurableRecords } from './durable-records.js';
import { Mail } from './mail.js';
import type { OwnerMistake, OwnerViolation } from './mistakes.js';
import { OwnerModel } from './leader.js';
import { randomJob, runTimeS } from './random-job.js';
import { CLAIM_PAUSE_S, LEASE_S, REPORT_S, STEP_S } from './timing.js';
import { Traffic, type WorkerContact } from './traffic.js';
import { WorkerModel } from './worker.js';

const WORKERS = 5;
const MOST_JOBS = 60;
/** When the first owner claims. */
const FIRST_CLAIM_S = 1;
/** Chances in one step. */
const SUBMISSION = 0.1;
const ABORT = 0.06;
const OWNER_LOSS = 0.008;
const WORKER_SILENCE = 0.001;

/**
 * Owners that come and go, workers, and a network that delays, loses and repeats messages, on a
 * simulated clock. It runs the production code of core and models everything around it. Returns the
 * broken rules found, which must be none unless a mistake was seeded.
 */
export function playOwners(
  seed: number,
  mistake: OwnerMistake,
  lengthS = 150,
): Set<OwnerViolation> {
  return new OwnerWorld(seed, mistake).play(lengthS);
}

class OwnerWorld {
  private readonly chance: Chance;
  private readonly records = new DurableRecords();
  private readonly mail = new Mail();
  private readonly traffic: Traffic;
  private readonly contacts: WorkerContact[];
  private readonly checks: OwnerChecks;
  private owner: OwnerModel | null = null;
  /** The last owner that lost the state service. */
  private former: OwnerModel | null = null;
  private claimAt = FIRST_CLAIM_S;
  private submitted = 0;
  private now = 0;

  constructor(
    seed: number,
    private readonly mistake: OwnerMistake,
  ) {
    const { mail } = this;
    const chance = new Chance(seed);
    this.chance = chance;
    const workers = Array.from({ length: WORKERS }, (_, index) => this.makeWorker(index));
    this.contacts = workers.map((worker) => ({
      worker,
      nextReportAt: chance.next(),
      awaitsAnswerUntil: -Infinity,
      follows: null,
    }));
    this.checks = new OwnerChecks(this.records, workers);
    this.traffic = new Traffic({ chance, mail, mistake, owner: () => this.owner });
  }

  play(lengthS: number): Set<OwnerViolation> {
    for (; this.now < lengthS; this.now += STEP_S) this.step();
    if (this.mistake === 'none') this.checks.checkEnd();
    return this.checks.violations;
  }

  private step(): void {
    const { now, mail, traffic, contacts } = this;
    this.changeJobs();
    this.changeOwner();
    for (const contact of contacts) this.stepWorker(contact);
    mail.deliver(now);
    this.owner?.step(now);
    if (this.owner) traffic.sendCommands(this.owner, contacts, now);
    // One that wakes sends what was due, if it may still believe itself entitled.
    const { former } = this;
    if (former && now >= former.thawsAt && !former.hasGivenUp(now)) {
      traffic.sendCommands(former, contacts, now);
    }
    this.checks.checkStep(now);
  }

  private makeWorker(index: number): WorkerModel {
    return new WorkerModel({
      name: `n-${index}`,
      zone: index % 2 ? 'a' : 'b',
      spot: index === WORKERS - 1,
      leaseS: LEASE_S,
      runS: (job) => runTimeS(this.records.jobOf(job)),
      onStart: (worker, task) => this.checks.checkStart(worker, task),
    });
  }

  private changeJobs(): void {
    const { chance, records } = this;
    if (chance.hit(SUBMISSION) && this.submitted < MOST_JOBS) {
      records.accept(randomJob(chance, ++this.submitted));
    }
    if (!chance.hit(ABORT)) return;
    const open = records.openJobs();
    if (open.length > 0) records.abort(open[chance.int(0, open.length - 1)], this.now);
  }

  /** Owners crash, or lose the state service and go on answering those that still reach them. */
  private changeOwner(): void {
    const { chance, now, owner } = this;
    if (owner && chance.hit(OWNER_LOSS)) {
      if (chance.hit(0.5)) this.depose(owner);
      this.owner = null;
      this.claimAt = now + CLAIM_PAUSE_S;
    }
    if (!this.owner && now >= this.claimAt) {
      this.owner = new OwnerModel(this.records, this.mistake, now);
    }
  }

  private depose(owner: OwnerModel): void {
    const { chance, now, contacts } = this;
    this.former = owner;
    owner.deposedAt = now;
    if (chance.hit(0.5)) owner.thawsAt = now + chance.next() * 0.9 * LEASE_S;
    const lastCutOff = chance.int(0, contacts.length - 1);
    for (const [index, contact] of contacts.entries()) {
      contact.follows = index <= lastCutOff && chance.hit(0.7) ? owner : null;
    }
  }

  private stepWorker(contact: WorkerContact): void {
    const { chance, now } = this;
    // Silent for a while: the network holds its reports back, or they are lost.
    if (chance.hit(WORKER_SILENCE)) contact.nextReportAt = now + chance.next() * 2 * LEASE_S;
    contact.worker.advance(now);
    this.checks.noteDone(contact.worker);
    if (now < contact.nextReportAt || now <= contact.awaitsAnswerUntil) return;
    contact.nextReportAt = now + REPORT_S * (0.75 + chance.next() / 2);
    this.traffic.sendReport(contact, now);
  }
}
