import { Order, Report, taskName, TaskReport } from '#wire';

interface Held extends TaskReport {
  startedAt: number;
  runS: number;
}

/** A worker as the protocol describes it: tokens, sessions, leases, orders. */
export class StandInWorker {
  session = 1;
  seq = 0;
  token = 0;
  readonly tasks = new Map<string, Held>();
  /** When the last answered report was sent. */
  private renewedAt: number;
  alive = true;
  onStart: (t: Held) => void = () => {};

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly leaseS: number,
    now: number,
  ) {
    this.renewedAt = now;
  }

  /** Tasks that are on the machine now, in the protocol's sense. */
  present(): Held[] {
    return this.alive ? [...this.tasks.values()].filter((t) => t.state !== 'exited') : [];
  }

  advance(now: number): void {
    if (!this.alive) return;
    if (now - this.renewedAt > this.leaseS) {
      this.tasks.clear();
      this.session++;
      this.renewedAt = now;
    }
    for (const t of this.tasks.values()) {
      if (t.state === 'fetching') t.state = 'running';
      else if (t.state === 'running' && now - t.startedAt >= t.runS) {
        t.state = 'exited';
        t.cause = 'done';
      }
    }
  }

  report(): Report {
    this.seq++;
    return {
      machine: this.name,
      addr: '127.0.0.1:1',
      type: 'std',
      zone: this.zone,
      spot: this.spot,
      session: this.session,
      seq: this.seq,
      token: this.token,
      noticeS: null,
      tasks: [...this.tasks.values()].map(({ job, index, attempt, state, cause, saved }) => ({
        job,
        index,
        attempt,
        state,
        cause,
        saved,
      })),
    };
  }

  answer(
    to: { session: number; sentAt: number },
    token: number,
    orders: Order[],
    now: number,
    runS: (job: string) => number,
  ): void {
    if (!this.alive || token < this.token || to.session !== this.session) return;
    this.token = token;
    this.renewedAt = Math.max(this.renewedAt, to.sentAt);
    this.execute(orders, now, runS);
  }

  /** A direct command: runs whenever it arrives, if token and session still match. */
  command(
    token: number,
    session: number,
    orders: Order[],
    now: number,
    runS: (job: string) => number,
  ): Report | null {
    if (!this.alive || token < this.token || session !== this.session) return null;
    this.token = token;
    this.execute(orders, now, runS);
    return this.report();
  }

  private execute(orders: Order[], now: number, runS: (job: string) => number): void {
    for (const o of orders) {
      const name = taskName(o.job, o.index);
      const held = this.tasks.get(name);
      if (o.op === 'start') {
        if (held) continue;
        const task: Held = {
          job: o.job,
          index: o.index,
          attempt: o.attempt,
          state: 'fetching',
          cause: null,
          saved: false,
          startedAt: now,
          runS: runS(o.job),
        };
        this.tasks.set(name, task);
        this.onStart(task);
      } else if (held && held.attempt === o.attempt) {
        if (o.op === 'forget' && held.state === 'exited') this.tasks.delete(name);
        if (o.op === 'stop' && held.state !== 'exited') {
          held.state = 'exited';
          held.cause = 'stopped';
        }
      }
    }
  }
}
