/** Plays events to a rule checker, for the tests of the checks. */
import type { Job, Phase } from '#wire';
import { aJob, STD } from '../../samples.js';
import type { RequestKind, UserRequest, WorldEvent } from '../events.js';
import { SampleWorld } from '../sample-world.js';
import { RuleChecker } from './rule-checker.js';

/** Seconds within which the tasks of a cancelled job must be gone in these tests. */
export const CANCEL_S = 35;
const JOB = 'j-000001';

/** What a test plays to the checker. */
export type Play = (script: Script) => void | Promise<void>;

/** Events and waits, played to a checker one after the other. */
export class Script {
  private readonly world = new SampleWorld();
  private readonly clock = this.world.runtime('10.9.0.1').clock;
  readonly checker = new RuleChecker(this.clock, {
    teams: [{ name: 'red', cpus: 0, gpus: 6 }],
    cancelS: CANCEL_S,
  });

  wait(seconds: number): Promise<void> {
    return this.world.run(seconds);
  }

  say(...events: WorldEvent[]): void {
    for (const event of events) this.checker.observe(event);
  }

  submitted(overrides: Partial<Job> = {}, runnable = true): void {
    const job = aJob({ tasks: 2, ...overrides });
    this.say({ kind: 'job-submitted', id: job.id, job, runnable });
  }

  /** Submits another job, which is accepted. */
  async accepted(overrides: Partial<Job> & { id: string }): Promise<void> {
    this.submitted(overrides);
    await this.told('submit', 201, 'pending', overrides.id);
  }

  machine(name: string, zone = 'a', spot = false): void {
    const machine = { name, sound: true, address: '', type: STD, zone, spot };
    this.say({ kind: 'machine-up', machine });
  }

  start(machine: string, index = 0, attempt = 1, job = JOB): void {
    const task = { job, index, attempt };
    this.say({ kind: 'task-assigned', machine, task }, { kind: 'task-started', machine, task });
  }

  leave(machine: string, index = 0, attempt = 1, job = JOB): void {
    const task = { job, index, attempt };
    this.say({ kind: 'task-left', machine, task, cause: 'stopped' });
  }

  asked(kind: RequestKind, job = JOB): UserRequest {
    const request = { kind, job };
    this.say({ kind: 'asked', request });
    return request;
  }

  answered(request: UserRequest, status: number, phase: Phase | null = null): void {
    this.say({ kind: 'answered', request, status, phase });
  }

  /** A request that is answered a little later. */
  async told(kind: RequestKind, status: number, phase: Phase | null = null, job = JOB) {
    const request = this.asked(kind, job);
    await this.wait(0.01);
    this.answered(request, status, phase);
  }

  async cancelled(): Promise<void> {
    this.say({ kind: 'cancel-asked', job: JOB });
    await this.told('abort', 200, 'aborted');
  }

  completed(index: number, job = JOB): void {
    this.say({ kind: 'task-completed', job, index });
  }

  /** An accepted job of two tasks, two machines in zone a and one in zone b. */
  async begin(overrides: Partial<Job> = {}): Promise<void> {
    for (const [name, zone] of ['a', 'a', 'b'].entries()) this.machine(`m-${name}`, zone);
    this.machine('m-spot', 'a', true);
    this.submitted(overrides);
    await this.told('submit', 201, 'pending');
  }

  /** The rules that were found broken, counted ones among them. */
  rules(): string[] {
    this.checker.finish();
    return this.checker.findings.map(({ rule }) => rule);
  }
}
