import { Job, MachineType, Order, Report, TaskReport, taskName } from '#wire';
import { Amounts, dominantShare, ServiceCounter } from './fairshare.js';
import { FleetListener, NO_LISTENER, TaskEnd } from './listener.js';
import { Assignment, BookSettings, JobState, Machine } from './model.js';
import { TaskSet } from './taskset.js';

/** Steady clocks differ by up to 0.05% each. */
const DRIFT = 0.001;
/** Answers that may stay without effect before a machine counts as deaf. */
const MAX_MISSES = 3;

export interface MachineFacts {
  name: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
}

export interface BookOptions {
  settings: BookSettings;
  /** The owner's term, which is also its token (docs/safety.md, points 1 and 3). */
  term: number;
  /** When the part was claimed, in seconds of the steady clock. */
  claimedAt: number;
  listener?: FleetListener;
}

/**
 * What the owner of a part believes of its machines, jobs and tasks. A pure state machine: time and
 * messages come in as arguments, and what must be made durable comes out as dirty names. A place is
 * given up only when the task is proven gone (docs/safety.md, point 5).
 */
export class Book {
  readonly jobs = new Map<string, JobState>();
  readonly machines = new Map<string, Machine>();
  readonly types = new Map<string, MachineType>();
  readonly teamUse = new Map<string, Amounts>();
  readonly teamService = new Map<string, ServiceCounter>();
  readonly dirtyMachines = new Set<string>();
  readonly dirtyJobs = new Set<string>();
  /** Jobs with tasks that wait for a place. */
  readonly open = new Set<JobState>();
  /** Machines for which a direct command may be due. */
  readonly due = new Set<Machine>();
  /** Tasks of each class in each zone. */
  readonly classZones = new Map<string, Map<string, number>>();
  fleet: Amounts = { cpus: 0, gpus: 0, memory: 0 };
  readonly settings: BookSettings;
  readonly term: number;
  private readonly claimedAt: number;
  private readonly listener: FleetListener;
  private attempts = 0;

  constructor(options: BookOptions) {
    this.settings = options.settings;
    this.term = options.term;
    this.claimedAt = options.claimedAt;
    this.listener = options.listener ?? NO_LISTENER;
  }

  // Jobs

  addJob(job: Job, acceptedAt: number, phase: JobState['phase'], now: number): JobState {
    const known = this.jobs.get(job.id);
    if (known) {
      if (phase !== 'accepted') this.closeJob(known, phase, now);
      return known;
    }
    const state: JobState = {
      job,
      shape: roomShape(job),
      acceptedAt,
      phase,
      done: new TaskSet(job.tasks),
      unsaved: false,
      places: new Map(),
      requeued: new Set(),
      cursor: 0,
      failures: 0,
      notBefore: 0,
      service: new ServiceCounter(this.settings.halfLifeS, now),
      waitingSince: now,
    };
    this.jobs.set(job.id, state);
    if (phase === 'accepted') this.open.add(state);
    return state;
  }

  /** A final phase that the state service holds. Tasks of the job end in flight. */
  closeJob(job: JobState, phase: 'aborted' | 'done', now: number): void {
    if (job.phase !== 'accepted') return;
    job.phase = phase;
    job.unsaved = false;
    this.open.delete(job);
    for (const a of allPlaces(job)) this.stopTask(a, 0, now);
    this.listener.jobClosed(job, now);
  }

  /** Forgets jobs that are over and have no task left anywhere. */
  dropEnded(): void {
    for (const [id, job] of this.jobs) {
      if (job.phase !== 'accepted' && job.places.size === 0) this.jobs.delete(id);
    }
  }

  waitingCount(job: JobState): number {
    if (job.phase !== 'accepted') return 0;
    return Math.max(0, job.job.tasks - job.done.size - job.places.size);
  }

  /** Up to `most` tasks that wait for a place, lowest first; they stay waiting until placed. */
  waitingTasks(job: JobState, most: number): number[] {
    const free = (i: number) => !job.done.has(i) && !job.places.has(i);
    const out: number[] = [];
    for (const i of job.requeued) {
      if (!free(i)) job.requeued.delete(i);
      else if (out.length < most) out.push(i);
    }
    while (job.cursor < job.job.tasks && !free(job.cursor)) job.cursor++;
    for (let i = job.cursor; i < job.job.tasks && out.length < most; i++) {
      if (free(i) && !job.requeued.has(i)) out.push(i);
    }
    return out;
  }

  markDone(job: JobState, index: number): void {
    if (job.phase !== 'accepted') return;
    // The protocol completes a gang as one: one task done means all are.
    if (job.job.kind === 'gang') job.done.addAll();
    else if (!job.done.add(index)) return;
    job.unsaved = true;
    this.dirtyJobs.add(job.job.id);
    if (this.waitingCount(job) === 0) this.open.delete(job);
  }

  // Places

  newAttempt(): number {
    // A transaction raises the revision, and with it every later term, by one, and can record far
    // fewer than 65,536 assignments: so numbers never repeat, also across terms.
    return this.term * 65536 + this.attempts++;
  }

  assign(job: JobState, index: number, machine: Machine, attempt: number, now: number): Assignment {
    // Guards against any caller that would start a task that may still be elsewhere.
    if (job.places.has(index) || job.done.has(index) || job.phase !== 'accepted') {
      throw new Error(`${job.job.id}/${index} does not wait for a place`);
    }
    const a = this.place(job, index, machine, attempt, now);
    this.dirtyMachines.add(machine.name);
    if (this.waitingCount(job) === 0) this.open.delete(job);
    return a;
  }

  /** An assignment found in the record that an earlier term left. */
  inherit(job: JobState, index: number, machine: Machine, attempt: number, now: number): void {
    const a = this.place(job, index, machine, attempt, now);
    a.recorded = true;
    a.inherited = true;
    if (job.phase !== 'accepted') this.stopTask(a, 0, now);
    if (this.waitingCount(job) === 0) this.open.delete(job);
  }

  private place(
    job: JobState,
    index: number,
    machine: Machine,
    attempt: number,
    now: number,
  ): Assignment {
    const a: Assignment = {
      job,
      index,
      attempt,
      machine,
      recorded: false,
      inherited: false,
      told: false,
      sentSeq: null,
      misses: 0,
      reported: null,
      stop: null,
      share: dominantShare(job.job, this.fleet),
      since: now,
      runningSince: null,
    };
    const j = job.job;
    const others = job.places.get(index);
    if (others) others.push(a);
    else job.places.set(index, [a]);
    machine.tasks.set(taskName(j.id, index), a);
    machine.images.delete(j.image);
    machine.images.set(j.image, j.imageGb);
    this.trimImages(machine);
    this.due.add(machine);
    // The room made here is taken: what the job still waits for needs room of its own.
    if (machine.heldFor?.job === job) machine.heldFor = null;
    this.count(a, 1, now);
    return a;
  }

  private count(a: Assignment, sign: 1 | -1, now: number): void {
    const j = a.job.job;
    a.machine.changes++;
    const used = a.machine.used;
    used.cpus += sign * j.cpus;
    used.gpus += sign * j.gpus;
    used.memory += sign * j.memory;
    const zones = this.zonesOf(j.class);
    zones.set(a.machine.zone, (zones.get(a.machine.zone) ?? 0) + sign);
    const use = this.teamUse.get(j.team) ?? { cpus: 0, gpus: 0, memory: 0 };
    use.cpus += sign * j.cpus;
    use.gpus += sign * j.gpus;
    use.memory += sign * j.memory;
    this.teamUse.set(j.team, use);
    this.service(j.team, now).book(sign * a.share, now);
    a.job.service.book(sign * a.share, now);
  }

  /** Tasks of a class by zone, kept current. */
  zonesOf(jobClass: string): Map<string, number> {
    let zones = this.classZones.get(jobClass);
    if (!zones) this.classZones.set(jobClass, (zones = new Map()));
    return zones;
  }

  service(team: string, now: number): ServiceCounter {
    let counter = this.teamService.get(team);
    if (!counter) {
      counter = new ServiceCounter(this.settings.halfLifeS, now);
      this.teamService.set(team, counter);
    }
    return counter;
  }

  private trimImages(machine: Machine): void {
    const cache = this.types.get(machine.type)?.cacheGb ?? Infinity;
    let held = 0;
    for (const gb of machine.images.values()) held += gb;
    for (const [image, gb] of machine.images) {
      if (held <= cache || machine.images.size === 1) break;
      machine.images.delete(image);
      held -= gb;
    }
  }

  /** Asks for an end of the task; it keeps its place until it is proven gone. */
  stopTask(a: Assignment, graceS: number, now: number): void {
    if (!a.told && !a.inherited && a.reported === null) {
      // Never told to the worker and never will be.
      this.remove(a, 'stopped', false, now);
      return;
    }
    if (a.stop === null) a.stop = { graceS, at: now, direct: false };
    else if (graceS < a.stop.graceS) a.stop = { ...a.stop, graceS, direct: false };
    this.due.add(a.machine);
  }

  private remove(a: Assignment, cause: TaskEnd['cause'], saved: boolean, now: number): void {
    const name = taskName(a.job.job.id, a.index);
    if (a.machine.tasks.get(name) !== a) return;
    a.machine.tasks.delete(name);
    if (a.machine.tasks.size === 0) a.machine.idleSince = now;
    const rest = (a.job.places.get(a.index) ?? []).filter((p) => p !== a);
    if (rest.length > 0) a.job.places.set(a.index, rest);
    else a.job.places.delete(a.index);
    this.count(a, -1, now);
    this.dirtyMachines.add(a.machine.name);
    if (this.waitingCount(a.job) > 0 && !this.open.has(a.job)) {
      a.job.waitingSince = now;
      this.open.add(a.job);
    }
    if (a.job.phase === 'accepted' && !a.job.done.has(a.index)) {
      if (a.index < a.job.cursor) a.job.requeued.add(a.index);
      this.noteFailure(a, cause, now);
      if (a.job.job.kind === 'gang') this.stopGang(a.job, now);
    }
    this.listener.taskEnded({ assignment: a, cause, saved }, now);
  }

  /** A gang that lost a task ends as a whole; the next attempt goes on from its checkpoint. */
  private stopGang(job: JobState, now: number): void {
    for (const mate of allPlaces(job)) if (mate.stop === null) this.stopTask(mate, 0, now);
  }

  private noteFailure(a: Assignment, cause: TaskEnd['cause'], now: number): void {
    const { reportS } = this.settings;
    if (cause === 'error') {
      a.machine.errors++;
      // The machine is the first suspect; a job that fails again and again waits longer each time.
      a.machine.avoidUntil = Math.max(a.machine.avoidUntil, now + 5 * reportS);
      a.job.failures++;
      a.job.notBefore = now + reportS * Math.min(32, 2 ** (a.job.failures - 1));
    } else if (cause === 'unknown') {
      a.job.failures++;
      a.job.notBefore = now + reportS * Math.min(8, 2 ** (a.job.failures - 1));
    } else if (cause === 'no_room' || cause === 'busy') {
      a.machine.avoidUntil = Math.max(a.machine.avoidUntil, now + 2 * reportS);
    }
  }

  // Machines

  /** A machine that the cloud, a record or its own report made known. */
  meet(facts: MachineFacts, state: Machine['state'], bornAt: number): Machine {
    const known = this.machines.get(facts.name);
    if (known) return known;
    const machine: Machine = {
      ...facts,
      state,
      bornAt,
      session: 0,
      seq: -1,
      helloSeq: -1,
      token: this.term,
      fencing: false,
      fenced: false,
      loose: new Map(),
      calling: false,
      callAfter: 0,
      confirmed: false,
      answeredAt: -Infinity,
      darkAt: 0,
      noticeAt: null,
      draining: false,
      avoidUntil: 0,
      steadySince: Infinity,
      unheardSince: null,
      errors: 0,
      images: new Map(),
      tasks: new Map(),
      used: { cpus: 0, gpus: 0, memory: 0 },
      changes: 0,
      idleSince: bornAt,
      reservedFor: null,
      heldFor: null,
      listedFailed: false,
    };
    this.machines.set(facts.name, machine);
    return machine;
  }

  /** The cloud has confirmed the release: the machine and all that was on it are gone. */
  released(name: string, now: number): void {
    const machine = this.machines.get(name);
    if (!machine) return;
    for (const a of [...machine.tasks.values()]) this.remove(a, 'lost', false, now);
    this.machines.delete(name);
    this.due.delete(machine);
    this.dirtyMachines.add(name);
  }

  /** Latest moment at which the worker's lease can still run. */
  private leaseEnd(machine: Machine): number {
    const { leaseS, formerOwnerS, reportS } = this.settings;
    const lastAnswer = machine.confirmed
      ? machine.answeredAt
      : Math.max(machine.answeredAt, this.claimedAt + formerOwnerS);
    return lastAnswer + leaseS * (1 + DRIFT) + reportS / 2;
  }

  /** Gives up what silent machines held, once their lease has certainly run out. */
  expire(now: number): Machine[] {
    const turned: Machine[] = [];
    for (const machine of this.machines.values()) {
      if (machine.state === 'booting' && machine.tasks.size === 0) continue;
      if (machine.state === 'dark' || now <= this.leaseEnd(machine)) continue;
      for (const a of [...machine.tasks.values()]) this.remove(a, 'lost', false, now);
      machine.state = 'dark';
      machine.darkAt = now;
      this.due.delete(machine);
      machine.reservedFor = null;
      turned.push(machine);
    }
    return turned;
  }

  /**
   * Takes a report in and says what to answer, or null for a late copy: it renews nothing, reports
   * nothing new, and its answer must not be one that a worker could take as valid.
   */
  report(r: Report, now: number): Order[] | null {
    const machine = this.meet(
      { name: r.machine, addr: r.addr, type: r.type, zone: r.zone, spot: r.spot },
      'up',
      now,
    );
    if (r.session < machine.session) return null;
    if (r.session === machine.session) {
      if (r.seq <= machine.helloSeq) return null;
      if (r.seq <= machine.seq) {
        // Overtaken by the answer to a direct command: its tasks are old, but the worker waits for
        // this answer and it renews the lease.
        machine.helloSeq = r.seq;
        machine.answeredAt = now;
        return this.ordersFor(machine, r.seq);
      }
    }
    this.noteHearing(machine, r, now);
    if (r.session > machine.session && machine.session > 0) {
      // The worker killed and forgot everything when its lease ran out. What an earlier term may
      // have started is not judged by this: the older session may be known from a late copy only,
      // and the start may belong to the newer one.
      for (const a of [...machine.tasks.values()]) {
        if (a.told || a.reported !== null) {
          this.remove(a, 'lost', false, now);
        }
      }
    }
    if (machine.state !== 'up') {
      if (machine.state === 'booting') this.listener.machineUp(machine, now);
      machine.state = 'up';
      machine.idleSince = now;
    }
    if (r.session > machine.session) machine.loose.clear();
    machine.addr = r.addr;
    machine.session = r.session;
    machine.seq = r.seq;
    machine.helloSeq = r.seq;
    if (r.token >= this.term) machine.confirmed = true;
    // Direct commands are not sent while the token is being raised, so all that is loose is older.
    if (machine.fenced && r.token >= machine.token) {
      machine.loose.clear();
      machine.fenced = false;
    }
    this.fenceLoose(machine, now);
    machine.noticeAt = r.noticeS === null ? null : now + r.noticeS;

    const listed = new Set<string>();
    const forgets: Order[] = [];
    for (const t of r.tasks) {
      listed.add(taskName(t.job, t.index));
      const order = this.taskReported(machine, t, now);
      if (order) forgets.push(order);
    }
    for (const a of [...machine.tasks.values()]) {
      if (!listed.has(taskName(a.job.job.id, a.index))) this.taskAbsent(a, r, now);
    }
    machine.answeredAt = now;
    return [...forgets, ...this.ordersFor(machine, r.seq)];
  }

  /**
   * A machine whose reports come while our answers don't reach it: it shows an old token again and
   * again, or its lease ran out though we answered. What would be placed there would not start.
   */
  private noteHearing(machine: Machine, r: Report, now: number): void {
    const { leaseS, reportS } = this.settings;
    // After a cut held reports arrive at once, and then a new session: that is no sign of deafness.
    if (now - machine.answeredAt > 4 * reportS) machine.steadySince = now;
    const old = r.token < this.term && machine.steadySince < now;
    machine.unheardSince = old ? (machine.unheardSince ?? now) : null;
    const unheard = machine.unheardSince !== null && now - machine.unheardSince >= 2 * reportS;
    const ranOut = r.session > machine.session && now - machine.steadySince >= leaseS;
    if (ranOut || unheard) machine.avoidUntil = Math.max(machine.avoidUntil, now + leaseS);
  }

  private taskReported(machine: Machine, t: TaskReport, now: number): Order | null {
    const ref = { job: t.job, index: t.index, attempt: t.attempt };
    const job = this.jobs.get(t.job);
    let a = machine.tasks.get(taskName(t.job, t.index));
    if (a && a.attempt !== t.attempt) {
      // An older attempt beside a newer one that waits for it to go.
      return t.state === 'exited' ? { op: 'forget', ...ref } : { op: 'stop', graceS: 0, ...ref };
    }
    if (!a) {
      if (t.state === 'exited') {
        if (t.cause === 'done' && job && job.phase === 'accepted') this.markDone(job, t.index);
        return this.mayForget(machine, t, job) ? { op: 'forget', ...ref } : null;
      }
      if (!job || t.index >= job.job.tasks) return { op: 'stop', graceS: 0, ...ref };
      // Nothing should run unrecorded; if it does, it holds its place until it is gone.
      a = this.place(job, t.index, machine, t.attempt, now);
      a.stop = { graceS: 0, at: now, direct: false };
    }
    a.inherited = false;
    a.reported = t.state;
    if (t.state === 'running' && a.runningSince === null) {
      a.runningSince = now;
      a.job.failures = 0;
      this.listener.taskRunning(a, now);
    }
    if (t.state !== 'exited') return null;
    const cause = t.cause ?? 'error';
    if (cause === 'done') this.markDone(a.job, t.index);
    this.remove(a, cause, t.saved, now);
    return this.mayForget(machine, t, a.job) ? { op: 'forget', ...ref } : null;
  }

  /**
   * Only once its result is durable and no start of the attempt can still arrive: a worker that has
   * forgotten an attempt would start it again.
   */
  private mayForget(machine: Machine, t: TaskReport, job: JobState | undefined): boolean {
    if (job?.unsaved && job.done.has(t.index)) return false;
    return !machine.loose.has(looseKey(t.job, t.index, t.attempt));
  }

  private fenceLoose(machine: Machine, now: number): void {
    if (machine.fencing || machine.fenced || machine.calling) return;
    for (const since of machine.loose.values()) {
      if (now - since < 2 * this.settings.reportS) continue;
      machine.fencing = true;
      this.dirtyMachines.add(machine.name);
      return;
    }
  }

  /** The machine's record was written at this revision. */
  handedOver(machine: Machine, revision: number): void {
    if (!machine.fencing) return;
    machine.fencing = false;
    machine.fenced = true;
    machine.token = revision;
  }

  /**
   * Commands that need not wait for the machine's next report: starts that are recorded, and stops.
   * Starts are loose until answered.
   */
  directOrders(machine: Machine, now: number): Order[] {
    const ok =
      machine.state === 'up' &&
      machine.confirmed &&
      !machine.calling &&
      !machine.fencing &&
      !machine.fenced &&
      now >= machine.callAfter &&
      now - machine.answeredAt < 2 * this.settings.reportS;
    if (!ok) return [];
    const orders: Order[] = [];
    let later = false;
    for (const a of machine.tasks.values()) {
      const ref = { job: a.job.job.id, index: a.index, attempt: a.attempt };
      if (a.stop !== null) {
        if (a.stop.direct) continue;
        a.stop.direct = true;
        orders.push({ op: 'stop', graceS: a.stop.graceS, ...ref });
      } else if (!a.told && a.reported === null && !a.inherited) {
        if (!startable(a)) {
          later = true;
          continue;
        }
        a.told = true;
        machine.loose.set(looseKey(ref.job, ref.index, ref.attempt), now);
        orders.push({ op: 'start', ...ref });
      }
    }
    if (orders.length > 0) machine.calling = true;
    if (!later) this.due.delete(machine);
    return orders;
  }

  /** The worker answered the commands, and executed them or not (409); or nothing is known. */
  directAnswered(
    machine: Machine,
    orders: Order[],
    outcome: { report: Report } | 'refused' | 'unknown',
    now: number,
  ): void {
    machine.calling = false;
    if (outcome === 'unknown') {
      machine.callAfter = now + this.settings.leaseS;
      return;
    }
    for (const o of orders) {
      if (o.op === 'start') machine.loose.delete(looseKey(o.job, o.index, o.attempt));
    }
    if (outcome === 'refused') {
      machine.callAfter = now + 2 * this.settings.reportS;
      return;
    }
    const r = outcome.report;
    if (r.session !== machine.session || r.seq <= machine.seq) return;
    machine.seq = r.seq;
    // It says nothing of starts in an answer that may still be on its way, so absence proves nothing.
    for (const t of r.tasks) this.taskReported(machine, t, now);
  }

  private taskAbsent(a: Assignment, r: Report, now: number): void {
    if (a.reported !== null) this.remove(a, 'lost', false, now);
    else if (a.inherited) {
      // An old start may still arrive until the worker has seen this term's token.
      if (r.token >= this.term) this.remove(a, 'lost', false, now);
    } else if (a.machine.loose.has(looseKey(a.job.job.id, a.index, a.attempt))) {
      // A direct start may still arrive.
      return;
    } else if (a.told && a.sentSeq === null) {
      // Only sent directly, and since refused or fenced off.
      if (a.stop !== null) this.remove(a, 'stopped', false, now);
      else {
        a.told = false;
        this.due.add(a.machine);
      }
    } else if (a.sentSeq !== null && r.seq > a.sentSeq) {
      // The worker sends its next report only when the answer has come or was given up, so the
      // start did not arrive and no longer can.
      a.misses++;
      if (a.stop !== null || a.misses >= MAX_MISSES) {
        if (a.stop === null) a.machine.avoidUntil = now + this.settings.leaseS;
        this.remove(a, 'lost', false, now);
      }
    }
  }

  private ordersFor(machine: Machine, seq: number): Order[] {
    const orders: Order[] = [];
    const starts: Order[] = [];
    for (const a of machine.tasks.values()) {
      const ref = { job: a.job.job.id, index: a.index, attempt: a.attempt };
      if (a.stop !== null) orders.push({ op: 'stop', graceS: a.stop.graceS, ...ref });
      else if (startable(a)) {
        a.told = true;
        a.sentSeq ??= seq;
        starts.push({ op: 'start', ...ref });
      }
    }
    return [...orders, ...starts];
  }

  recomputeFleet(): void {
    const total = { cpus: 0, gpus: 0, memory: 0 };
    for (const m of this.machines.values()) {
      const type = this.types.get(m.type);
      if (!type) continue;
      total.cpus += type.cpus;
      total.gpus += type.gpus;
      total.memory += type.memory;
    }
    this.fleet = total;
  }
}

export function* allPlaces(job: JobState): Generator<Assignment> {
  for (const list of [...job.places.values()]) yield* list;
}

/** What decides, zones of its other tasks apart, on which machines a task fits. */
export function roomShape(j: Job): string {
  const types = j.types === null ? '*' : j.types.join(',');
  return `${j.cpus} ${j.gpus} ${j.memory} ${types} ${j.zone ?? '*'} ${j.spot}`;
}

function startable(a: Assignment): boolean {
  return a.reported === null && !a.inherited && a.recorded && gangRecorded(a.job);
}

function looseKey(job: string, index: number, attempt: number): string {
  return `${taskName(job, index)}#${attempt}`;
}

/** All tasks of a gang are recorded before the first of them is told to start. */
function gangRecorded(job: JobState): boolean {
  if (job.job.kind !== 'gang') return true;
  if (job.places.size < job.job.tasks) return false;
  for (const a of allPlaces(job)) if (!a.recorded) return false;
  return true;
}
