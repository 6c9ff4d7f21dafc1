/** Simulated workers and scripted controllers for the tests of the worker stand-in. */
import {
  answerToWire,
  CborClient,
  commandToWire,
  parseHeartbeat,
  type Job,
  type Order,
  type Heartbeat,
  type TaskStatus,
} from '#wire';
import type { ServedRequest } from '../http-server.js';
import { serveCbor } from '../http-server.js';
import type { WireReply } from '#wire/serving';
import { JobStorage, type JobProgram } from '../job-storage.js';
import { RequestFault } from '../request-fault.js';
import { SampleWorld } from '../sample-world.js';
import { makeJob, STANDARD_TYPE } from '../../samples.js';
import { GangRegistry } from './gang-registry.js';
import { LateHeartbeats } from './late-heartbeats.js';
import { Worker } from './worker.js';

/** The settings of the workers, in seconds. */
export const TIMES = { heartbeatIntervalS: 1, leaseS: 10, gangWaitS: 40, gangPeerS: 8 };
const CONTROLLER_NAMES = ['c-0', 'c-1'];
const CONTROLLER_PORT = 8080;

/** A controller whose answers to heartbeats are set by the test. */
class ScriptedController {
  fencingToken = 5;
  /** Commands to include in the next answer. */
  orders: Order[] = [];
  /** Makes the answers instead of the default ones, if set. */
  reply: ((heartbeat: Heartbeat) => WireReply) | null = null;
  readonly heartbeats: (Heartbeat & { atS: number })[] = [];

  constructor(private readonly world: SampleWorld) {}

  handle({ body }: ServedRequest): WireReply {
    const heartbeat = parseHeartbeat(body);
    this.heartbeats.push({ ...heartbeat, atS: this.world.world.now });
    if (this.reply) return this.reply(heartbeat);
    return { status: 200, body: answerToWire(this.fencingToken, this.orders.splice(0)) };
  }

  /** Finds a task in the latest heartbeat. */
  findTask(index = 0): TaskStatus | undefined {
    return this.heartbeats.at(-1)?.tasks.find((task) => task.index === index);
  }
}

/** Workers that send their heartbeats to scripted controllers. */
export class SampleFleet {
  readonly world = new SampleWorld();
  readonly storage = new JobStorage(this.world.observer);
  readonly lateHeartbeats = new LateHeartbeats(this.world.createRuntime('10.9.0.3'));
  readonly lateCommands = new RequestFault(this.world.createRuntime('10.9.0.1'));
  readonly repeatedCommands = new RequestFault(this.world.createRuntime('10.9.0.4'));
  readonly controllers = CONTROLLER_NAMES.map(() => new ScriptedController(this.world));
  private readonly commandRuntime = this.world.createRuntime('10.0.0.9', 'controller');
  private readonly gangs = new GangRegistry(this.world.createRuntime('10.9.0.2'));
  private started = 0;

  async startControllers(): Promise<this> {
    for (const [index, controller] of this.controllers.entries()) {
      const host = `10.0.0.${index + 1}`;
      const runtime = this.world.createRuntime(host, 'controller');
      const address = { host, port: CONTROLLER_PORT };
      await this.world.runUntilComplete(
        serveCbor(runtime, address, (req) => controller.handle(req)),
      );
    }
    return this;
  }

  /** Starts a worker that knows the first `controllerCount` controllers. */
  async startWorker(speed = 1, controllerCount = 1): Promise<Worker> {
    const number = ++this.started;
    const host = `10.1.0.${number}`;
    const facts = {
      name: `n-${number}`,
      healthy: true,
      type: STANDARD_TYPE,
      zone: 'a',
      spot: false,
    };
    const traits = { speed, fetchGbPerS: STANDARD_TYPE.fetchGbPerS, tasksFailAfterS: null };
    const worker = new Worker(
      this.world.createRuntime(host, 'worker'),
      { ...facts, address: `${host}:9000` },
      traits,
      {
        times: TIMES,
        controllers: CONTROLLER_NAMES.slice(0, controllerCount).map((name, index) => ({
          name,
          address: `10.0.0.${index + 1}:${CONTROLLER_PORT}`,
        })),
        storage: this.storage,
        gangs: this.gangs,
        observer: this.world.observer,
        lateHeartbeats: this.lateHeartbeats,
        lateCommands: this.lateCommands,
        repeatedCommands: this.repeatedCommands,
      },
    );
    await this.world.runUntilComplete(worker.start());
    return worker;
  }

  upload(overrides: Partial<Job>, program: Partial<JobProgram> = {}): Job {
    const job = makeJob(overrides);
    this.storage.upload({
      job,
      runS: Array<number>(job.tasks).fill(10),
      failsAfterS: null,
      ...program,
    });
    return job;
  }

  /** Sends direct commands to a worker; returns the status and the tasks of its answer. */
  async sendOrders(worker: Worker, orders: Order[], fencingToken = 5, agentEpoch = 1) {
    return this.world.runUntilComplete(this.postOrders(worker, orders, fencingToken, agentEpoch));
  }

  /** Like `sendOrders`, but the caller runs the world. */
  async postOrders(worker: Worker, orders: Order[], fencingToken = 5, agentEpoch = 1) {
    const body = commandToWire(fencingToken, agentEpoch, orders);
    const http = new CborClient(this.commandRuntime, worker.facts.address);
    const answer = await http.call('POST', '/orders', { timeoutMs: 5000, body });
    return { status: answer.status, tasks: parseHeartbeat(answer.body).tasks };
  }

  /** Returns why tasks have left their machines, as `index:cause`. */
  leaveCauses(): string[] {
    return this.world.events.flatMap((event) =>
      event.kind === 'task-left' ? [`${event.task.index}:${event.cause}`] : [],
    );
  }
}

/** Makes a command to start a task of the sample job. */
export function startOrder(index = 0, attempt = 1): Order {
  return { op: 'start', job: 'j-000001', index, attempt };
}

/** Makes a command to stop a task of the sample job within the grace period, in seconds. */
export function stopOrder(graceS: number, index = 0, attempt = 1): Order {
  return { op: 'stop', job: 'j-000001', index, attempt, graceS };
}

/** Makes a command to forget a task of the sample job. */
export function forgetOrder(index = 0, attempt = 1): Order {
  return { op: 'forget', job: 'j-000001', index, attempt };
}
