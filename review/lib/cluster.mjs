/**
 * A small deployment on the loopback: controllers as processes of their own, started with the command of the deploy
 * file, and the project's stand-ins of the state service, the cloud and the workers in this process.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parse, stringify } from 'smol-toml';
import { nodeRuntime, UserClient } from '#wire';
import {
  CloudService,
  Fleet,
  GangRegistry,
  JobStorage,
  LateHeartbeats,
  ReplyLoss,
  StateService,
} from '../../target/testing/stand-ins/index.js';
import { controllerAddresses, platformSettings } from '../../target/testing/simulation/cluster-settings.js';

const ROOT = path.resolve(import.meta.dirname, '../..');
const HOST = '127.0.0.1';
const MACHINE_PORTS = 60;
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;
const MAX_LIFE_MS = 118_000;
/** Exit code of a controller whose address is taken. */
const CANNOT_LISTEN = 4;
/** The pages: a controller is back about 6 s after an end. */
const RESTART_DELAY_MS = 6000;
/** The pages: users wait 2 s for the response to a poll. */
const POLL_TIMEOUT_MS = 2000;

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** The case could not run: the deployment did not reach the state in which the disruption begins. */
export class CouldNotRun extends Error {}

/** Seconds from a request for a machine until it is up; the pages say: usually 0.6 to 1.5 times the nominal time. */
const BOOT_S = 4;
const BOOTS = { overrideS: [0.6 * BOOT_S, 1.2 * BOOT_S] };

/** The deployment of etiquetas-plata as its pages have it; only machines boot sooner, so that a case fits its time. */
const ETIQUETAS_PLATA = {
  type: {
    name: 'caja-pesada',
    cpus: 96,
    gpus: 8,
    memory: 384,
    cacheGb: 600,
    fetchGbPerS: 5,
    price: 19.64,
    spotPrice: 5.88,
    bootS: BOOT_S,
    zones: ['barracas', 'pilar', 'rosario'],
  },
  settings: {
    zones: ['barracas', 'pilar', 'rosario'],
    clock_off_ms: 100,
    teams: [{ name: 'mesa-devol', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    objectives: [
      { kind: 'wait', class: 'ombu-grande', within_s: 15, share: 0.88 },
      { kind: 'finished', class: 'lote-nocturno', within_s: 120, share: 0.82 },
      { kind: 'finished', class: 'lote-nocturno', within_s: 250, share: 0.94 },
      { kind: 'wait', class: 'refuerzo-chico', within_s: 5, share: 0.92 },
      { kind: 'wait', class: 'afinado-medio', within_s: 12, share: 0.85 },
      { kind: 'finished', class: 'afinado-medio', within_s: 200, share: 0.9 },
    ],
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 35 },
    state: { rps: 150, write_rps: 50, value_kb: 8, txn_ops: 24 },
    cloud: { rps: 4, list_lag_s: 4 },
    limits: { cpu_share: 0.255, memory_mb: 114, sockets: 700 },
  },
};

/** The deployment of yushan-pay as its pages have it, smaller: one machine type, two teams with small quotas. */
export const YUSHAN_PAY = {
  type: {
    name: 'heavy-rack',
    cpus: 96,
    gpus: 8,
    memory: 576,
    cacheGb: 400,
    fetchGbPerS: 2.3,
    price: 21.06,
    spotPrice: 7.17,
    bootS: BOOT_S,
    zones: ['zone-taipei', 'zone-taichung', 'zone-hualien'],
  },
  settings: {
    zones: ['zone-taipei', 'zone-taichung', 'zone-hualien'],
    clock_off_ms: 100,
    teams: [
      { name: 'merchant-care', cpus: 0, cpus_max: 0, gpus: 16, gpus_max: 24 },
      { name: 'risk-desk', cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 16 },
    ],
    objectives: [{ kind: 'wait', class: 'jade-counsel', within_s: 30, share: 0.85 }],
    workers: { report_s: 1, lease_s: 11, gang_wait_s: 45, gang_peer_s: 6, cancel_s: 31 },
    state: { rps: 250, write_rps: 80, value_kb: 8, txn_ops: 48 },
    cloud: { rps: 5, list_lag_s: 8 },
    limits: { cpu_share: 0.255, memory_mb: 146, sockets: 800 },
  },
};

/** Resolves with true if the port can be listened on. */
function isFree(port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

/** Free ports, all different, below those that outgoing connections take. */
async function freePorts(count) {
  const ports = [];
  let port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT - 10 * count));
  while (ports.length < count) {
    if (port > LAST_PORT) throw new CouldNotRun('too few free ports');
    if (await isFree(port)) ports.push(port);
    port++;
  }
  return ports;
}

class Addresses {
  constructor(ports, controllers) {
    const next = () => ({ host: HOST, port: ports.shift() });
    const several = (count) => Array.from({ length: count }, next);
    this.services = several(controllers);
    this.peers = several(controllers);
    this.stateAddress = next();
    this.cloud = next();
    this.machines = several(MACHINE_PORTS);
  }

  service(index) {
    return this.services[index];
  }

  peer(index) {
    return this.peers[index];
  }

  state() {
    return this.stateAddress;
  }

  machine(number) {
    return this.machines[number % MACHINE_PORTS];
  }
}

/** Writes what happens to `record.txt` of a case. */
class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    writeFileSync(file, '');
  }

  line(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(2).padStart(7);
    appendFileSync(this.file, `${seconds} ${text}\n`);
  }
}

function describe(event) {
  const { kind } = event;
  if (kind === 'transaction') return null;
  if (kind === 'machine-up') {
    const { name, type, zone } = event.machine;
    return `machine ${name} up: ${type.name} in ${zone}`;
  }
  if (kind.startsWith('machine-')) return `machine ${event.machine} ${kind.slice('machine-'.length)}`;
  if (kind === 'task-completed') return `task ${event.job}/${event.index} completed`;
  const { machine, task, cause } = event;
  const name = `${task.job}/${task.index}`;
  return `task ${name} ${kind.slice('task-'.length)} ${machine}${cause ? `, ${cause}` : ''}`;
}

/** A running deployment. */
export class Cluster {
  static async start(options) {
    const { controllers = 3 } = options;
    const ports = await freePorts(2 * controllers + 2 + MACHINE_PORTS);
    const cluster = new Cluster(options, new Addresses(ports, controllers));
    await cluster.listen();
    return cluster;
  }

  constructor({ directory, site = ETIQUETAS_PLATA, capacity = [], controllers = 3 }, addresses) {
    this.record = new Record(path.join(directory, 'record.txt'));
    this.addresses = addresses;
    this.temporary = mkdtempSync(path.join(tmpdir(), 'sorreldale-review-'));
    this.shared = { controllers, deployment: site.settings };
    this.processes = [];
    /** How many controller processes have ended without a signal of this script. */
    this.endsByItself = 0;
    this.closing = false;
    /** Machine of each task that is on a machine now, by task name. */
    this.running = new Map();
    const observe = (event) => {
      const text = describe(event);
      if (text !== null) this.record.line(text);
      this.follow(event);
    };
    const { state, cloud, workers } = this.shared.deployment;
    const limits = { rps: state.rps, writeRps: state.write_rps, valueKb: state.value_kb, txnOps: state.txn_ops };
    this.storage = new JobStorage(observe);
    this.state = new StateService(nodeRuntime, limits, observe);
    this.fleet = new Fleet({
      workerEnvironment: {
        times: {
          heartbeatIntervalS: workers.report_s,
          leaseS: workers.lease_s,
          gangWaitS: workers.gang_wait_s,
          gangPeerS: workers.gang_peer_s,
        },
        controllers: controllerAddresses(this.shared, addresses),
        storage: this.storage,
        gangs: new GangRegistry(nodeRuntime),
        observer: observe,
        lateHeartbeats: new LateHeartbeats(nodeRuntime),
        lateCommands: new ReplyLoss(nodeRuntime),
      },
      addressOf: (number) => addresses.machine(number),
      hostFor: () => ({ runtime: nodeRuntime, powerOff: () => undefined }),
    });
    this.cloud = new CloudService(
      nodeRuntime,
      { types: [site.type], capacity, rps: cloud.rps, listLagS: cloud.list_lag_s },
      this.fleet,
    );
    this.cloud.setBootProfile(BOOTS);
    this.recordCloudCalls();
  }

  /** Records each request for machines and each release with its answer. */
  recordCloudCalls() {
    const { cloud, record } = this;
    const provision = cloud.provision.bind(cloud);
    cloud.provision = (request) => {
      const reply = provision(request);
      const { type, zone, spot, count } = request;
      const kind = `${count} ${type} in ${zone}, ${spot ? 'spot' : 'on demand'}`;
      record.line(`cloud asked for ${kind}: ${reply.status} ${JSON.stringify(reply.body)}`);
      return reply;
    };
    const release = cloud.release.bind(cloud);
    cloud.release = (names) => {
      record.line(`cloud asked to release ${names.join(', ')}`);
      return release(names);
    };
  }

  follow({ kind, machine, task }) {
    if (kind !== 'task-started' && kind !== 'task-left') return;
    const name = `${task.job}/${task.index}`;
    if (kind === 'task-started') this.running.set(name, machine);
    else if (this.running.get(name) === machine) this.running.delete(name);
  }

  async listen() {
    process.once('exit', () => {
      this.endProcesses();
      rmSync(this.temporary, { recursive: true, force: true });
    });
    for (const failure of ['uncaughtException', 'unhandledRejection']) {
      process.on(failure, (error) => {
        console.error(error);
        process.exit(COULD_NOT_RUN);
      });
    }
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => process.exit(COULD_NOT_RUN));
    setTimeout(() => {
      this.record.line('time is up');
      process.exit(COULD_NOT_RUN);
    }, MAX_LIFE_MS).unref();
    await this.state.listen(this.addresses.state());
    await this.cloud.listen(this.addresses.cloud);
    for (let index = 0; index < this.shared.controllers; index++) this.startController(index);
    await Promise.all(this.processes.map((_, index) => this.untilHealthy(index)));
  }

  startController(index) {
    const { run } = parse(readFileSync(path.join(ROOT, 'deploy/service.toml'), 'utf8'));
    const [program, ...words] = run.split(' ');
    const file = path.join(this.temporary, `controller-${index}.toml`);
    writeFileSync(file, stringify(platformSettings(this.shared, index, this.addresses)));
    const child = spawn(program, [...words, file], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'error' },
      stdio: ['ignore', 'ignore', process.env.LOG_LEVEL ? 'inherit' : 'ignore'],
    });
    child.once('exit', (code, signal) => {
      if (this.closing) return;
      if (code === CANNOT_LISTEN) {
        this.record.line(`controller-${index} cannot listen`);
        process.exit(COULD_NOT_RUN);
      }
      this.record.line(`controller-${index} ended by itself: code ${code}, signal ${signal}`);
      this.endsByItself++;
      // Like the platform: a process that has ended is started again with the same settings.
      setTimeout(() => this.startController(index), RESTART_DELAY_MS);
    });
    this.processes[index] = child;
    this.record.line(`controller-${index} started`);
  }

  user(index, timeoutMs = 5000) {
    const { host, port } = this.addresses.service(index);
    return new UserClient(`${host}:${port}`, timeoutMs);
  }

  async untilHealthy(index) {
    const { host, port } = this.addresses.service(index);
    for (;;) {
      const answer = await fetch(`http://${host}:${port}/healthz`).catch(() => null);
      if (answer?.status === 200) return;
      await sleep(100);
    }
  }

  /** Sends a request of a user until it is answered with 200 or 201, and records each answer. */
  async request(what, send, index = 0) {
    const user = this.user(index);
    try {
      while (!this.closing) {
        const answer = await send(user).catch(() => null);
        const text = answer === null ? 'no answer' : `${answer.status} ${JSON.stringify(answer.job)}`;
        this.record.line(`${what}: ${text}`);
        if (answer !== null && [200, 201].includes(answer.status)) return answer;
        await sleep(1000 * Math.max(1, answer?.retryAfterS ?? 0));
      }
      return null;
    } finally {
      user.close();
    }
  }

  async submit(job, { runS = 3600, at = 0 } = {}) {
    this.storage.upload({ job, runS: Array.from({ length: job.tasks }, () => runS), failsAfterS: null });
    return this.request(`submit ${job.id}`, (user) => user.submit(job), at);
  }

  status(id) {
    return this.request(`status ${id}`, (user) => user.status(id));
  }

  /** Asks every controller once for the state of a job; resolves with the number of answers. */
  async askAll(id) {
    const answers = await Promise.all(
      this.processes.map(async (_, index) => {
        const user = this.user(index, POLL_TIMEOUT_MS);
        const answer = await user.status(id).catch(() => null);
        user.close();
        const text = answer === null ? 'no answer' : `${answer.status} ${JSON.stringify(answer.job)}`;
        this.record.line(`status ${id} at controller-${index}: ${text}`);
        return answer !== null;
      }),
    );
    return answers.filter(Boolean).length;
  }

  /** Resolves once the condition holds; rejects with CouldNotRun after the time. */
  async until(what, seconds, holds) {
    if (!(await this.within(seconds, holds))) throw new CouldNotRun(`${what}: not within ${seconds} s`);
  }

  /** Whether the condition holds within the time. */
  async within(seconds, holds) {
    const end = performance.now() + seconds * 1000;
    while (performance.now() < end) {
      if (holds()) return true;
      await sleep(50);
    }
    return holds();
  }

  endProcesses() {
    this.closing = true;
    for (const child of this.processes) child.kill('SIGKILL');
  }
}

/** A job of the only team: an array of one small task on on-demand machines of any zone, unless changed. */
export function makeJob(overrides) {
  return {
    id: 'j-000001',
    class: 'limpia-texto',
    team: 'mesa-devol',
    kind: 'array',
    rank: 2,
    tasks: 1,
    cpus: 1,
    gpus: 0,
    memory: 3.2,
    image: 'img-01',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 0,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    awaits: [],
    ...overrides,
  };
}

/** Runs a case and ends this process with the exit code of its outcome. */
export async function runCase(play) {
  let code = COULD_NOT_RUN;
  try {
    code = await play();
  } catch (error) {
    console.error(error instanceof CouldNotRun ? error.message : error);
  }
  process.exit(code);
}
