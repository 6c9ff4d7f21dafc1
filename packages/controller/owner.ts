import { Clock, MachineType, Order, Report, Runtime, WakeablePause } from '#wire';
import { Book, CapacityPlanner, JobState, Scheduler } from '#core';
import {
  JobRecord,
  listAll,
  MACHINES,
  MachineRecord,
  maxTasksPerMachine,
  PROGRESS,
  StateClient,
  Term,
} from '#store';
import { DirectCommands } from './direct.js';
import { graceAfterLoss } from './time-bounds.js';
import { JobTable } from './jobs.js';
import type { Log } from './log.js';
import { Pacer } from './pacer.js';
import { Recorder, runningCount, TermBroken } from './recorder.js';
import { Settings, teamTerms } from './settings.js';

/** Decisions in one scheduling round; the next round follows at once if more could be made. */
const ROUND_DECISIONS = 200;

/** Rounds in a report period if nothing asks for more. */
const ROUND_TICKS = 4;
/** Rounds per decision tick at the most, and the multiple of its own time that a round pauses after. */
const ROUNDS_A_TICK = 5;
const ROUND_REST = 3;

export interface PartOwnerOptions {
  runtime: Runtime;
  settings: Settings;
  client: StateClient;
  jobs: JobTable;
  term: Term;
  types: () => MachineType[];
  entitled: () => boolean;
  /** Told how long each scheduling round took. */
  onRound: (ms: number) => void;
  /** Connections that may be open for direct commands. */
  directSockets: number;
  log: Log;
}

/** One term of owning a part: its book, the recorder behind it and the duties that drive it. */
export class PartOwner {
  readonly book: Book;
  readonly planner: CapacityPlanner;
  readonly scheduler: Scheduler;
  readonly recorder: Recorder;
  readonly term: Term;
  /** Steady seconds. */
  readonly startedAt: number;
  private readonly clock: Clock;
  private readonly settings: Settings;
  private readonly client: StateClient;
  private readonly jobs: JobTable;
  private readonly log: Log;
  private readonly direct: DirectCommands;
  private rounds: Pacer | null = null;
  private readonly idle: WakeablePause;
  /** The records are read and orders may have been given. */
  ready = false;
  /** No earlier owner has recorded any machine. */
  first = false;
  private summaryAt = -Infinity;

  constructor(private readonly options: PartOwnerOptions) {
    const { runtime, settings, client, jobs, term, log } = options;
    this.clock = runtime.clock;
    this.startedAt = this.clock.now();
    this.idle = new WakeablePause(this.clock);
    ({ settings: this.settings, client: this.client, jobs: this.jobs } = options);
    ({ term: this.term, log: this.log } = options);
    const { deployment, operator } = settings;
    const w = deployment.workers;
    this.book = new Book(
      {
        leaseS: w.lease_s,
        reportS: w.report_s,
        gangPeerS: w.gang_peer_s,
        formerOwnerS: graceAfterLoss(w.cancel_s, w.lease_s, w.report_s) + 2 * w.report_s,
        halfLifeS: operator.shareHalfLifeS,
        maxTasksPerMachine: maxTasksPerMachine(client.limits.valueBytes),
      },
      term.term,
      term.claimedAt,
    );
    const teams = teamTerms(deployment.teams);
    this.planner = new CapacityPlanner(
      this.book,
      {
        reserveSigmas: operator.reserveSigmas,
        idleHoldS: operator.idleHoldS,
        memoryS: operator.arrivalMemoryS,
      },
      deployment.objectives
        .filter((o) => o.class !== undefined)
        .map((o) => ({ class: o.class!, kind: o.kind, withinS: o.within_s ?? Infinity })),
      teams,
    );
    this.scheduler = new Scheduler(this.book, teams, {
      floorWeight: operator.floorWeight,
      stopThreshold: operator.stopThreshold,
      gangLeaseS: operator.gangLeaseS,
      preemptAfterS: operator.preemptAfterS,
      decisionsPerRound: ROUND_DECISIONS,
    });
    this.recorder = new Recorder({ runtime, client, book: this.book, jobs, term, log });
    this.direct = new DirectCommands({
      runtime,
      book: this.book,
      timeoutMs: 2 * w.report_s * 1000,
      maxConnections: options.directSockets,
      onOrders: (machine, orders) => this.logOrders(machine.name, orders),
      onDone: () => this.nudge(),
    });
    this.book.onUp = (machine, now) => {
      this.planner.noteUp(machine, now);
      const { name, type, zone, spot, bornAt } = machine;
      this.log.debug({ machine: name, type, zone, spot, bootedS: seconds(now - bornAt) }, 'up');
    };
    this.book.onClosed = (job, now) => this.planner.noteEnd(job.job, now);
    this.book.onRunning = (a, now) => {
      this.log.debug(
        {
          job: a.job.job.id,
          task: a.index,
          class: a.job.job.class,
          machine: a.machine.name,
          image: a.job.job.image,
          placedS: seconds(a.since - a.job.acceptedAt),
          fetchedS: seconds(now - a.since),
        },
        'task running',
      );
    };
    this.book.onEnd = (end, now) => {
      const { job, index, attempt, machine } = end.assignment;
      const ranS = now - (end.assignment.runningSince ?? now);
      this.log.debug(
        { job: job.job.id, task: index, attempt, machine: machine.name, cause: end.cause, ranS },
        'task over',
      );
    };
  }

  /** Runs until the term ends; throws TermBroken if it must be given up. */
  async run(signal: AbortSignal): Promise<void> {
    await this.load(signal);
    this.ready = true;
    this.log.info(
      { term: this.term.term, jobs: this.book.open.size, machines: this.book.machines.size },
      'owner',
    );
    const jobs = this.jobs.changed.subscribe((r) => this.takeJob(r, true));
    const rounds = this.makePacer(signal);
    this.rounds = rounds;
    rounds.start();
    try {
      await this.flushLoop(signal);
    } finally {
      jobs.unsubscribe();
      rounds.stop();
      this.direct.close();
    }
  }

  /** Asks for a scheduling round soon. */
  nudge(): void {
    this.rounds?.request();
  }

  /** A user gives the job up; its record may be still to come. */
  abort(id: string, now: number): void {
    const job = this.book.jobs.get(id);
    if (job?.phase !== 'accepted') return;
    this.book.closeJob(job, 'aborted', now);
    this.nudge();
  }

  private takeJob(record: JobRecord, fresh: boolean): JobState {
    const now = this.clock.now();
    const ageS = Math.max(0, (this.clock.wallMs() - record.acceptedAtMs) / 1000);
    const isNew = !this.book.jobs.has(record.job.id);
    const state = this.book.addJob(record.job, now - ageS, record.phase, now);
    if (isNew && record.phase === 'accepted') this.planner.noteArrival(record.job, now);
    if (fresh) this.nudge();
    return state;
  }

  private async load(signal: AbortSignal): Promise<void> {
    for (const type of this.options.types()) this.book.types.set(type.name, type);
    // All that is durable before our claim, jobs first: records name them.
    await this.jobs.cache.sync();
    const machines = await listAll(this.client, MACHINES, signal);
    const progress = await listAll(this.client, PROGRESS, signal);
    const now = this.clock.now();
    const held = new Set(
      machines.entries.flatMap((e) => (e.value as MachineRecord).tasks.map(([job]) => job)),
    );
    for (const record of this.jobs.all()) {
      if (record.phase === 'accepted' || held.has(record.job.id)) this.takeJob(record, false);
    }
    this.planner.assumeSteady(now);
    for (const e of progress.entries) {
      this.recorder.loaded(e.key, e.version);
      const [id, chunk] = e.key.slice(PROGRESS.length).split('/');
      const job = this.book.jobs.get(id);
      if (job) {
        this.recorder.loadProgress(job, Number(chunk), (e.value as { done: string }).done);
      }
    }
    this.first = machines.entries.length === 0;
    for (const e of machines.entries) {
      this.recorder.loaded(e.key, e.version);
      const { addr, type, zone, spot, tasks } = e.value as MachineRecord;
      const name = e.key.slice(MACHINES.length);
      const machine = this.book.meet({ name, addr, type, zone, spot }, 'up', now);
      for (const [id, index, attempt] of tasks) {
        const job = this.book.jobs.get(id);
        if (job) this.book.inherit(job, index, machine, attempt, now);
        else throw new TermBroken(`record of ${name} names unknown job ${id}`);
      }
    }
    this.book.recomputeFleet();
  }

  private makePacer(signal: AbortSignal): Pacer {
    const tickMs = (this.settings.deployment.workers.report_s * 1000) / ROUND_TICKS;
    return new Pacer({
      clock: this.clock,
      periodMs: tickMs,
      minRestMs: tickMs / ROUNDS_A_TICK,
      restRatio: ROUND_REST,
      run: () => this.timedRound(signal),
      onError: (err) => {
        this.log.error({ err: err instanceof Error ? err.stack : String(err) }, 'unexpected');
      },
    });
  }

  /** True if the round made as many decisions as it may, and the next one is to follow at once. */
  private timedRound(signal: AbortSignal): boolean {
    const startedAt = this.clock.now();
    const decided = this.round(signal);
    this.options.onRound((this.clock.now() - startedAt) * 1000);
    return decided >= ROUND_DECISIONS;
  }

  /** Returns the number of decisions. */
  private round(signal: AbortSignal): number {
    const now = this.clock.now();
    const dark = this.book.expire(now);
    for (const m of dark) this.log.info({ machine: m.name }, 'machine silent past its lease');
    this.book.recomputeFleet();
    for (const m of this.book.machines.values()) {
      if (m.noticeAt === null) continue;
      for (const a of m.tasks.values()) {
        // What can be saved is saved before the cloud takes the machine; services move at once.
        const saves = a.job.job.checkpointS > 0;
        if (a.stop === null && (saves || a.job.job.kind === 'service')) {
          this.scheduler.stopOrderly(a, now);
        }
      }
    }
    this.scheduler.reserve(now);
    const decided = this.scheduler.round(now);
    if (this.recorder.pending) this.idle.wake();
    if (this.options.entitled()) this.direct.push(signal);
    this.summarise(now);
    return decided;
  }

  private summarise(now: number): void {
    if (now - this.summaryAt < 10 * this.settings.deployment.workers.report_s) return;
    this.summaryAt = now;
    this.book.dropEnded();
    this.log.info(this.fleet(), 'fleet');
  }

  /** The fleet, its use and what waits, as operators want to see it. */
  fleet() {
    const now = this.clock.now();
    const states: Record<string, number> = {};
    let idle = 0;
    for (const m of this.book.machines.values()) {
      const kind = `${m.state}${m.spot ? ' spot' : ''}`;
      states[kind] = (states[kind] ?? 0) + 1;
      if (m.state === 'up' && m.tasks.size === 0) idle++;
    }
    const waiting: Record<string, number> = {};
    for (const j of this.book.open) {
      waiting[j.job.class] = (waiting[j.job.class] ?? 0) + this.book.waitingCount(j);
    }
    const use: Record<string, number> = {};
    const index: Record<string, number> = {};
    for (const t of this.settings.deployment.teams) {
      use[t.name] = this.book.teamUse.get(t.name)?.gpus ?? 0;
      index[t.name] = Number(this.scheduler.index(t.name, now).toFixed(3));
    }
    const { gpus } = this.book.fleet;
    return { machines: states, idle, gpus, use, index, waiting };
  }

  private async flushLoop(signal: AbortSignal): Promise<void> {
    const tickMs = (this.settings.deployment.workers.report_s * 1000) / ROUND_TICKS;
    while (!signal.aborted) {
      if (this.recorder.pending) {
        await this.recorder.flush(signal);
        if (this.options.entitled()) this.direct.push(signal);
      } else await this.idle.wait(tickMs, signal);
    }
  }

  /** Takes a report and says what to answer; null for a late copy. */
  report(r: Report): Order[] | null {
    const before = this.recorder.pending;
    const orders = this.book.report(r, this.clock.now());
    if (orders === null) return null;
    this.logOrders(r.machine, orders);
    if (this.recorder.pending && !before) {
      this.idle.wake();
      this.nudge();
    }
    return orders;
  }

  private logOrders(machine: string, orders: Order[]): void {
    for (const o of orders) this.log.debug({ machine, ...o }, 'order');
  }

  /** How many machines should report, and how many did so within the time. */
  hearing(now: number, withinS: number): { machines: number; heard: number } {
    let machines = 0;
    let heard = 0;
    for (const m of this.book.machines.values()) {
      if (m.state !== 'up') continue;
      machines++;
      if (now - m.answeredAt <= withinS) heard++;
    }
    return { machines, heard };
  }

  /** What the worker's answers carry. */
  tokenFor(machine: string): number {
    return this.book.machines.get(machine)?.token ?? this.term.term;
  }

  counts(): { job: string; done: number; running: number }[] {
    const out = [];
    for (const job of this.book.jobs.values()) {
      if (job.phase !== 'accepted') continue;
      out.push({ job: job.job.id, done: job.done.size, running: runningCount(job) });
    }
    return out;
  }
}

function seconds(s: number): number {
  return Math.round(s * 100) / 100;
}
