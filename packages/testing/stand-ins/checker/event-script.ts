/** Feeds events to a rule checker, for the tests of the checks. */
import type { Job, Phase } from '#wire';
import { makeJob, STANDARD_TYPE } from '../../samples.js';
import type { RequestKind, UserRequest, WorldEvent } from '../events.js';
import { SampleWorld } from '../sample-world.js';
import { RuleChecker } from './rule-checker.js';

/** Seconds within which the tasks of a cancelled job must have stopped in these tests. */
export const CANCEL_S = 35;
const JOB_ID = 'j-000001';

/** The steps of a test: events and waits. */
export type ScriptSteps = (script: EventScript) => void | Promise<void>;

/**
 * Feeds events to a rule checker and advances its clock. Methods without a job refer to the job that
 * `setUp` submits.
 */
export class EventScript {
  private readonly world = new SampleWorld();
  private readonly clock = this.world.createRuntime('10.9.0.1').clock;
  readonly checker = new RuleChecker(this.clock, {
    teams: [{ name: 'red', cpus: 0, gpus: 6 }],
    cancelS: CANCEL_S,
  });

  wait(seconds: number): Promise<void> {
    return this.world.run(seconds);
  }

  observe(...events: WorldEvent[]): void {
    for (const event of events) this.checker.observe(event);
  }

  submitJob(overrides: Partial<Job> = {}, runnable = true): void {
    const job = makeJob({ tasks: 2, ...overrides });
    this.observe({ kind: 'job-submitted', id: job.id, job, runnable });
  }

  /** Submits another job and answers that it is accepted. */
  async submitAcceptedJob(overrides: Partial<Job> & { id: string }): Promise<void> {
    this.submitJob(overrides);
    await this.requestAndAnswer('submit', 201, 'pending', overrides.id);
  }

  startMachine(name: string, zone = 'a', spot = false): void {
    const machine = { name, healthy: true, address: '', type: STANDARD_TYPE, zone, spot };
    this.observe({ kind: 'machine-up', machine });
  }

  startTask(machine: string, index = 0, attempt = 1, job = JOB_ID): void {
    const task = { job, index, attempt };
    this.observe({ kind: 'task-assigned', machine, task }, { kind: 'task-started', machine, task });
  }

  endTask(machine: string, index = 0, attempt = 1, job = JOB_ID): void {
    const task = { job, index, attempt };
    this.observe({ kind: 'task-left', machine, task, cause: 'stopped' });
  }

  sendRequest(kind: RequestKind, job = JOB_ID): UserRequest {
    const request = { kind, job };
    this.observe({ kind: 'asked', request });
    return request;
  }

  answerRequest(request: UserRequest, status: number, phase: Phase | null = null): void {
    this.observe({ kind: 'answered', request, status, phase });
  }

  /** Sends a request and answers it 10 ms later. */
  async requestAndAnswer(
    kind: RequestKind,
    status: number,
    phase: Phase | null = null,
    job = JOB_ID,
  ) {
    const request = this.sendRequest(kind, job);
    await this.wait(0.01);
    this.answerRequest(request, status, phase);
  }

  async cancelJob(): Promise<void> {
    this.observe({ kind: 'cancel-asked', job: JOB_ID });
    await this.requestAndAnswer('abort', 200, 'aborted');
  }

  completeTask(index: number, job = JOB_ID): void {
    this.observe({ kind: 'task-completed', job, index });
  }

  /**
   * Starts two machines in zone a, one in zone b and a spot machine in zone a, and submits a job of two
   * tasks, which is accepted.
   */
  async setUp(overrides: Partial<Job> = {}): Promise<void> {
    for (const [name, zone] of ['a', 'a', 'b'].entries()) this.startMachine(`m-${name}`, zone);
    this.startMachine('m-spot', 'a', true);
    this.submitJob(overrides);
    await this.requestAndAnswer('submit', 201, 'pending');
  }

  /** Ends the run and returns the rules of all violations, including events that are only counted. */
  brokenRules(): string[] {
    this.checker.finish();
    return this.checker.allViolations.map(({ rule }) => rule);
  }
}
