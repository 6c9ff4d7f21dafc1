import { Job, MachineType, Order, taskName } from '#wire';
import { FleetState, Scheduler, TeamQuota } from '#core';
import { STD } from './samples.js';
import { Chance } from './random.js';
import { StandInWorker } from './worker.js';

const STEP = 0.25;
const REPORT = 1;
const LEASE = 10;
const CANCEL = 35;
const FORMER_OWNER = 12;
const CLAIM_PAUSE = 4;
const ANSWER_LIFE = 4;

/** One deliberate mistake, to show that the checks can fail. */
export type Fault =
  | 'none'
  | 'short-lease'
  | 'trusts-former-owner'
  | 'order-before-record'
  | 'no-limit'
  | 'any-zone'
  | 'deaf-to-aborts'
  | 'done-early'
  | 'believes-old-copies'
  | 'forgets-late-starts'
  | 'wakes-entitled';

interface StoredMachine {
  zone: string;
  spot: boolean;
  tasks: [string, number, number][];
}

/** What is durable: the only thing that outlives an owner. */
interface Durable {
  term: number;
  revision: number;
  jobs: Map<string, { job: Job; phase: 'accepted' | 'aborted' | 'done'; abortedAt: number }>;
  done: Map<string, Set<number>>;
  machines: Map<string, StoredMachine>;
}

/** One life of an owner: its fleet state, a scheduler, and a recorder that takes a step to be durable. */
class Life {
  readonly fleet: FleetState;
  private readonly scheduler: Scheduler;
  /** Cut off from the state service: it can record nothing more and goes on answering for a while. */
  deposedAt: number | null = null;
  /** Stands still until then, while its clock runs on. */
  thawsAt = -Infinity;

  constructor(
    private readonly store: Durable,
    readonly term: number,
    type: MachineType,
    teams: Map<string, TeamQuota>,
    private readonly fault: Fault,
    now: number,
  ) {
    this.fleet = new FleetState({
      settings: {
        leaseS: fault === 'short-lease' ? LEASE / 4 : LEASE,
        reportS: REPORT,
        gangPeerS: 6,
        formerOwnerS: fault === 'trusts-former-owner' ? -LEASE : FORMER_OWNER,
        halfLifeS: 3600,
        maxTasksPerMachine: 50,
      },
      term,
      claimedAt: now,
    });
    this.fleet.machines.types.set(type.name, type);
    for (const { job, phase } of store.jobs.values()) {
      const state = this.fleet.addJob(job, now, phase, now);
      for (const i of store.done.get(job.id) ?? []) state.done.add(i);
    }
    for (const [name, m] of store.machines) {
      const { zone, spot } = m;
      const machine = this.fleet.machines.register(
        { name, addr: '', type: 'std', zone, spot },
        'up',
        now,
      );
      for (const [id, index, attempt] of m.tasks) {
        this.fleet.assignments.inherit(this.fleet.jobs.get(id)!, index, machine, attempt, now);
      }
    }
    this.fleet.machines.updateTotals();
    const effective =
      fault === 'no-limit'
        ? new Map([...teams].map(([k, t]) => [k, { ...t, gpuLimit: 0 }]))
        : teams;
    this.scheduler = new Scheduler(this.fleet, effective, {
      floorWeight: 0.05,
      stopThreshold: 0.5,
      gangLeaseS: 20,
      preemptAfterS: 2,
      decisionsPerRound: 50,
    });
  }

  step(now: number): void {
    if (this.deposedAt !== null) return;
    this.record();
    for (const { job, phase } of this.store.jobs.values()) {
      if (phase === 'aborted' && this.fault === 'deaf-to-aborts') continue;
      const seen = this.fault === 'any-zone' ? { ...job, zone: null, spread: false } : job;
      this.fleet.addJob(seen, now, phase, now);
    }
    this.fleet.leases.expire(now);
    this.fleet.machines.updateTotals();
    this.scheduler.reservations.update(now);
    this.scheduler.round(now);
    if (this.fault === 'order-before-record') {
      for (const m of this.fleet.machines.values())
        for (const a of m.tasks.values()) a.recorded = true;
    }
  }

  /** Makes the state of the step before durable, under the condition of the term. */
  private record(): void {
    const { store, fleet } = this;
    if (store.term !== this.term) return;
    store.revision++;
    for (const id of fleet.unrecorded.jobs) {
      const job = fleet.jobs.get(id)!;
      const stored = store.jobs.get(id)!;
      const done = new Set<number>();
      for (let i = 0; i < job.spec.tasks; i++) if (job.done.has(i)) done.add(i);
      store.done.set(id, done);
      const enough = this.fault === 'done-early' ? done.size > 0 : done.size === job.spec.tasks;
      if (enough && stored.phase === 'accepted') {
        stored.phase = 'done';
        fleet.closeJob(job, 'done', 0);
      }
      fleet.unrecorded.jobOver(id);
    }
    fleet.unrecorded.jobs.clear();
    if (this.fault !== 'order-before-record') {
      for (const name of fleet.unrecorded.machines) {
        const m = fleet.machines.get(name);
        if (!m) store.machines.delete(name);
        else {
          const tasks = [...m.tasks.values()];
          for (const a of tasks) a.recorded = true;
          fleet.fencing.recorded(m, store.revision);
          store.machines.set(name, {
            zone: m.zone,
            spot: m.spot,
            tasks: tasks.map((a) => [a.job.spec.id, a.index, a.attempt]),
          });
        }
      }
    }
    fleet.unrecorded.machines.clear();
  }
}

const TEAMS = new Map<string, TeamQuota>([
  ['red', { guaranteedCpus: 0, guaranteedGpus: 6, cpuLimit: 0, gpuLimit: 10 }],
  ['blue', { guaranteedCpus: 0, guaranteedGpus: 4, cpuLimit: 0, gpuLimit: 8 }],
]);

interface Message {
  at: number;
  run: (now: number) => void;
}

/**
 * Owners that come and go, workers, and a network that delays, loses and repeats messages, on a
 * simulated clock. Returns the broken rules found, which must be none unless a fault was seeded.
 */
export function simulate(seed: number, fault: Fault, lengthS = 150): Set<string> {
  const chance = new Chance(seed);
  const broken = new Set<string>();
  const store: Durable = {
    term: 0,
    revision: 10,
    jobs: new Map(),
    done: new Map(),
    machines: new Map(),
  };
  const truth = { done: new Map<string, Set<number>>() };
  const workers: StandInWorker[] = [];
  for (let i = 0; i < 5; i++) {
    workers.push(new StandInWorker(`n-${i}`, i % 2 ? 'a' : 'b', i === 4, LEASE, 0));
  }
  let now = 0;
  let life: Life | null = null;
  let former: Life | null = null;
  let claimAt = 1;
  const mail: Message[] = [];
  const nextReport = workers.map(() => chance.next());
  const inFlight = workers.map(() => -Infinity);
  /** Whom a cut-off worker still reaches. */
  const sticksTo: (Life | null)[] = workers.map(() => null);

  const jobOf = (id: string) => store.jobs.get(id)!.job;
  const runS = (id: string) => (jobOf(id).kind === 'service' ? Infinity : 3 + (id.length % 7) * 2);

  for (const w of workers) {
    w.onStart = (t) => {
      const job = jobOf(t.job);
      let gpus = 0;
      const zones = new Map<string, number>();
      for (const other of workers) {
        for (const p of other.present()) {
          if (jobOf(p.job).team === job.team) gpus += jobOf(p.job).gpus;
          if (p.job !== t.job) continue;
          zones.set(other.zone, (zones.get(other.zone) ?? 0) + 1);
          if (p !== t && p.index === t.index) broken.add('ran_twice');
        }
      }
      if (gpus > TEAMS.get(job.team)!.gpuLimit) broken.add('quota');
      if (job.spread && zones.get(w.zone)! > Math.ceil(job.tasks / 2)) broken.add('wrong_place');
      if (job.oneZone && zones.size > 1) broken.add('wrong_place');
      if (job.zone !== null && job.zone !== w.zone) broken.add('wrong_place');
      if (w.spot && !job.spot) broken.add('wrong_place');
    };
  }

  /** One that lost the state service may answer no longer: the bound counts from when it lost it. */
  const gaveUp = (owner: Life, at: number) => {
    if (owner.deposedAt === null) return false;
    if (fault === 'wakes-entitled' && owner.thawsAt > owner.deposedAt) return false;
    return at > owner.deposedAt + FORMER_OWNER;
  };

  const sendReport = (i: number) => {
    const w = workers[i];
    const report = w.report();
    const sentAt = now;
    // A worker that lost its owner stays with the one that answered it last, if that still does.
    const target = sticksTo[i] ?? life;
    inFlight[i] = now + ANSWER_LIFE;
    const deliver = (at: number) => {
      if (!target) return;
      if (at < target.thawsAt) {
        mail.push({ at: target.thawsAt, run: deliver });
        return;
      }
      if (gaveUp(target, at)) {
        sticksTo[i] = null;
        return;
      }
      if (fault === 'believes-old-copies') {
        const machine = target.fleet.machines.get(report.machine);
        if (machine && machine.lastMessageSeq >= report.seq)
          machine.lastMessageSeq = machine.lastReportSeq = report.seq - 1;
      }
      const outcome = target.fleet.reports.handle(report, at);
      const answered = outcome.kind === 'answer';
      const orders = answered ? outcome.orders : [];
      const token = answered ? target.fleet.machines.get(report.machine)!.token : 0;
      const back = at + chance.next() * 0.3;
      if (chance.hit(0.08)) return;
      mail.push({
        at: back,
        run: (t) => {
          if (t - sentAt > ANSWER_LIFE || inFlight[i] === -Infinity) return;
          inFlight[i] = -Infinity;
          w.answer({ session: report.session, sentAt }, token, orders, t, runS);
        },
      });
    };
    if (!chance.hit(0.08)) mail.push({ at: now + chance.next() * 0.3, run: deliver });
    // A copy from seconds to well over a lease late; its answer reaches nobody.
    if (chance.hit(0.15)) {
      mail.push({
        at: now + chance.next() * 3 * LEASE,
        run: (t) => {
          if (!life || gaveUp(life, t)) return;
          if (fault === 'believes-old-copies') {
            const machine = life.fleet.machines.get(report.machine);
            if (machine)
              machine.lastMessageSeq = machine.lastReportSeq = Math.min(
                machine.lastMessageSeq,
                report.seq - 1,
              );
          }
          life.fleet.reports.handle(report, t);
        },
      });
    }
  };

  /** Direct commands may take long, arrive late, or be answered late or never. */
  const sendDirect = (from: Life) => {
    for (const [i, w] of workers.entries()) {
      const machine = from.fleet.machines.get(w.name);
      const orders = machine ? from.fleet.directOrders.take(machine, now) : [];
      if (!machine || orders.length === 0) continue;
      const { token, session } = machine;
      const late = chance.hit(0.15);
      const givenUp = now + 2 * REPORT;
      mail.push({
        at: now + (late ? chance.next() * 4 * LEASE : chance.next() * 0.3),
        run: (t) => {
          const report = workers[i].command(token, session, orders, t, runS);
          if (t >= givenUp || chance.hit(0.1)) return;
          answered.add(orders);
          from.fleet.directOrders.finish(
            machine,
            orders,
            report ? { kind: 'executed', report } : { kind: 'refused' },
            t,
          );
        },
      });
      mail.push({
        at: givenUp,
        run: (t) => {
          if (answered.has(orders)) return;
          from.fleet.directOrders.finish(machine, orders, { kind: 'unknown' }, t);
          if (fault === 'forgets-late-starts') machine.unacknowledgedStarts.clear();
        },
      });
    }
  };
  const answered = new Set<Order[]>();

  let nextJob = 0;
  const submit = () => {
    const kind = (['array', 'array', 'service', 'gang'] as const)[chance.int(0, 3)];
    const zone = chance.hit(0.15) ? 'a' : null;
    const job: Job = {
      id: `j-${'0'.repeat(chance.int(0, 4))}${++nextJob}`,
      class: kind,
      team: chance.hit(0.5) ? 'red' : 'blue',
      kind,
      rank: chance.int(0, 3),
      tasks: chance.int(1, kind === 'array' ? 4 : 3),
      cpus: 2,
      gpus: chance.int(1, 2),
      memory: 4,
      image: `i${chance.int(0, 2)}`,
      imageGb: 5,
      types: null,
      zone,
      oneZone: chance.hit(0.2),
      spread: zone === null && chance.hit(0.3),
      spot: chance.hit(0.5),
      estimateS: 10,
      checkpointS: 0,
      saveS: 0,
      deadlineS: null,
    };
    if (job.oneZone) job.spread = false;
    store.revision++;
    store.jobs.set(job.id, { job, phase: 'accepted', abortedAt: Infinity });
  };

  for (; now < lengthS; now += STEP) {
    if (chance.hit(0.1) && nextJob < 60) submit();
    if (chance.hit(0.06)) {
      const open = [...store.jobs.values()].filter((j) => j.phase === 'accepted');
      if (open.length > 0) {
        const j = open[chance.int(0, open.length - 1)];
        store.revision++;
        j.phase = 'aborted';
        j.abortedAt = now;
      }
    }
    // Owners crash, or lose the state service and go on answering those that still reach them.
    if (life && chance.hit(0.008)) {
      if (chance.hit(0.5)) {
        former = life;
        life.deposedAt = now;
        if (chance.hit(0.5)) life.thawsAt = now + chance.next() * 0.9 * LEASE;
        const stuck = chance.int(0, workers.length - 1);
        workers.forEach((_, i) => (sticksTo[i] = i <= stuck && chance.hit(0.7) ? former : null));
      }
      life = null;
      claimAt = now + CLAIM_PAUSE;
    }
    if (!life && now >= claimAt) {
      store.term = ++store.revision;
      life = new Life(store, store.term, STD, TEAMS, fault, now);
    }
    for (const [i, w] of workers.entries()) {
      if (chance.hit(0.001)) {
        // Silent for a while: the network holds its reports back, or they are lost.
        nextReport[i] = now + chance.next() * 2 * LEASE;
      }
      w.advance(now);
      for (const t of w.tasks.values()) {
        if (t.state !== 'exited' || t.cause !== 'done') continue;
        const set = truth.done.get(t.job) ?? new Set();
        truth.done.set(t.job, set.add(t.index));
        if (jobOf(t.job).kind === 'gang') {
          for (let n = 0; n < jobOf(t.job).tasks; n++) set.add(n);
        }
      }
      if (now >= nextReport[i] && now > inFlight[i]) {
        nextReport[i] = now + REPORT * (0.75 + chance.next() / 2);
        sendReport(i);
      }
    }
    mail.sort((a, b) => a.at - b.at);
    while (mail.length > 0 && mail[0].at <= now) mail.shift()!.run(now);
    life?.step(now);
    if (life) sendDirect(life);
    // One that wakes sends what was due, if it may still believe itself entitled.
    if (former && now >= former.thawsAt && !gaveUp(former, now)) sendDirect(former);

    const seen = new Map<string, string>();
    for (const w of workers) {
      for (const t of w.present()) {
        const name = taskName(t.job, t.index);
        if (seen.has(name)) broken.add('ran_twice');
        seen.set(name, w.name);
        const record = store.jobs.get(t.job)!;
        if (now > record.abortedAt + CANCEL) broken.add('ran_cancelled');
        // A start that no durable record names could be forgotten by the next owner.
        const stored = store.machines.get(w.name);
        const named = stored?.tasks.some(
          ([j, n, a]) => j === t.job && n === t.index && a === t.attempt,
        );
        if (!named && now - t.startedAt < STEP) broken.add('unrecorded');
      }
    }
    for (const { job, phase } of store.jobs.values()) {
      if (phase === 'done' && (truth.done.get(job.id)?.size ?? 0) < job.tasks)
        broken.add('not_done');
    }
  }
  const finished = [...store.jobs.values()].filter((j) => j.phase === 'done').length;
  if (fault === 'none' && finished === 0) broken.add('nothing_ran');
  return broken;
}
