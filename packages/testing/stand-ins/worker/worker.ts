/** Stand-in for the worker, the program that runs on each provisioned machine. */
import { MalformedBody, parseHostPort, heartbeatToWire, type Heartbeat, type Runtime } from '#wire';
import { parseHeartbeatAnswer, type DirectCommand, type HeartbeatAnswer } from '#wire/serving';
import type { MachineFacts, Observer } from '../events.js';
import type { JobProgram, JobStorage } from '../job-storage.js';
import { CommandServer } from './command-server.js';
import { FreezableClock } from './freezable-clock.js';
import type { GangRegistry } from './gang-registry.js';
import { ImageCache } from './image-cache.js';
import type { ControllerAddress } from './controller-selector.js';
import { HeartbeatSender, type HeartbeatSource } from './heartbeat-sender.js';
import type { TaskHost, WorkerTimes } from './task-host.js';
import { TaskTable } from './task-table.js';
import { AgentEpochState } from './agent-epoch.js';
import type { MachineTraits, WorkerEnvironment } from './worker-environment.js';

/** Hosts tasks, sends heartbeats and executes the commands of the leader. */
export class Worker implements TaskHost {
  readonly clock: FreezableClock;
  readonly images: ImageCache;
  private readonly agentEpoch: AgentEpochState;
  private readonly tasks: TaskTable;
  private readonly heartbeatSender: HeartbeatSender;
  private readonly server: CommandServer;
  private address: string;
  private reclaimAt: number | null = null;
  /** When a higher fencing token last triggered an early heartbeat. */
  private fencingTokenChangeAt = -Infinity;
  /** Agent epoch of the heartbeat in flight. */
  private sentAgentEpoch = 0;
  private poweredOff = false;

  constructor(
    runtime: Runtime,
    readonly facts: MachineFacts,
    private readonly traits: MachineTraits,
    private readonly environment: WorkerEnvironment,
  ) {
    this.clock = new FreezableClock(runtime.clock);
    const freezableRuntime: Runtime = {
      ...runtime,
      clock: this.clock,
      random: () => runtime.random(),
    };
    const { times, controllers } = environment;
    this.address = facts.address;
    this.images = new ImageCache(this.clock, facts.type.cacheGb, traits.fetchGbPerS);
    this.tasks = new TaskTable(facts.type, this);
    this.agentEpoch = new AgentEpochState(
      runtime.clock,
      times.leaseS,
      () => {
        this.handleLeaseExpiry();
      },
      () => {
        this.handleHigherFencingToken();
      },
    );
    const source = this.heartbeatSource();
    this.heartbeatSender = new HeartbeatSender(
      freezableRuntime,
      times.heartbeatIntervalS,
      controllers,
      source,
    );
    this.server = new CommandServer(runtime, this, environment);
  }

  get machine(): string {
    return this.facts.name;
  }
  get times(): WorkerTimes {
    return this.environment.times;
  }
  get storage(): JobStorage {
    return this.environment.storage;
  }
  get gangs(): GangRegistry {
    return this.environment.gangs;
  }
  get observer(): Observer {
    return this.environment.observer;
  }
  get speed(): number {
    return this.traits.speed;
  }

  /** Starts to accept commands and to send heartbeats. */
  async start(): Promise<void> {
    this.observer({ kind: 'machine-up', machine: this.facts });
    const bound = await this.server.listen(parseHostPort(this.facts.address));
    this.address = `${bound.host}:${bound.port}`;
    void this.heartbeatSender.run();
  }

  /** Ends the worker and kills all of its tasks, since the machine is gone. */
  powerOff(): void {
    if (this.poweredOff) return;
    this.poweredOff = true;
    this.heartbeatSender.stop();
    this.server.close();
    this.agentEpoch.close();
    this.tasks.killAll();
    this.observer({ kind: 'machine-gone', machine: this.machine });
  }

  /** Suspends everything on the machine until resume(), except that the lease keeps running. */
  hang(): void {
    this.setHanging(true);
  }

  resume(): void {
    this.setHanging(false);
  }

  get hanging(): boolean {
    return this.clock.isFrozen;
  }

  /** Blocks answers and commands; heartbeats still reach the controllers. */
  setInboundBlocked(blocked: boolean): void {
    this.heartbeatSender.answersBlocked = blocked;
    this.server.commandsBlocked = blocked;
  }

  /** Blocks heartbeats; commands of controllers still reach the worker. */
  setHeartbeatsBlocked(blocked: boolean): void {
    this.heartbeatSender.heartbeatsBlocked = blocked;
  }

  setSpeed(speed: number): void {
    this.traits.speed = speed;
    for (const task of this.tasks.all()) task.speedChanged();
  }

  /** Makes tasks that start from now on fail after the given seconds; null: they don't fail. */
  failTasksAfter(seconds: number | null): void {
    this.traits.tasksFailAfterS = seconds;
  }

  /** Announces that the cloud will reclaim the machine in about `noticeS` seconds. */
  giveNotice(noticeS: number): void {
    this.reclaimAt = this.clock.now() + noticeS;
    this.observer({ kind: 'machine-noticed', machine: this.machine });
    this.heartbeatSender.recordChange();
  }

  failsAfterS(program: JobProgram): number | null {
    return program.failsAfterS ?? this.traits.tasksFailAfterS;
  }

  taskChanged(): void {
    this.heartbeatSender.recordChange();
  }

  whenRunning(): Promise<void> {
    return this.clock.whenRunning();
  }

  executeCommand(command: DirectCommand): boolean {
    if (this.poweredOff || !this.agentEpoch.admitCommand(command)) return false;
    this.tasks.execute(command.orders);
    return true;
  }

  nextHeartbeat(): Heartbeat {
    const { name, type, zone, spot } = this.facts;
    return {
      machine: name,
      addr: this.address,
      type: type.name,
      zone,
      spot,
      agentEpoch: this.agentEpoch.current,
      sequence: this.agentEpoch.nextSequence(),
      fencingToken: this.agentEpoch.highestFencingToken,
      noticeS: this.reclaimAt === null ? null : Math.max(0, this.reclaimAt - this.clock.now()),
      tasks: this.tasks.statuses(),
    };
  }

  private heartbeatSource(): HeartbeatSource {
    return {
      nextHeartbeat: () => {
        this.sentAgentEpoch = this.agentEpoch.current;
        return heartbeatToWire(this.nextHeartbeat());
      },
      answered: (body, sentAt, node) => {
        this.handleAnswer(body, sentAt, node);
      },
      sent: (body, node) => {
        this.environment.lateHeartbeats.heartbeatSent(this.machine, body, node);
      },
      exchanged: (status, sentAtS, { name: controller }) => {
        const endedAtS = this.clock.now();
        const exchange = { machine: this.machine, controller, status, sentAtS, endedAtS };
        this.environment.heartbeatObserver?.exchanged(exchange);
      },
      whenRunning: () => this.clock.whenRunning(),
    };
  }

  private handleAnswer(body: unknown, sentAt: number, node: ControllerAddress): void {
    const answer = readAnswer(body);
    const heartbeat = { agentEpoch: this.sentAgentEpoch, sentAt };
    if (answer === null || !this.agentEpoch.admitAnswer(answer.fencingToken, heartbeat)) return;
    const { highestFencingToken } = this.agentEpoch;
    this.environment.heartbeatObserver?.onAccepted?.(this.machine, node.name, highestFencingToken);
    this.tasks.execute(answer.orders);
    this.environment.lateHeartbeats.answerAccepted(node);
  }

  private handleLeaseExpiry(): void {
    this.environment.heartbeatObserver?.leaseEnded(this.machine);
    this.tasks.killAll();
    this.heartbeatSender.recordChange();
  }

  /** Sends an early heartbeat for a higher fencing token, at most once per half lease. */
  private handleHigherFencingToken(): void {
    const now = this.clock.now();
    if (now - this.fencingTokenChangeAt < this.times.leaseS / 2) return;
    this.fencingTokenChangeAt = now;
    this.heartbeatSender.recordChange();
  }

  private setHanging(hanging: boolean): void {
    if (this.poweredOff || hanging === this.hanging) return;
    this.observer({ kind: 'machine-hangs', machine: this.machine, hanging });
    if (hanging) {
      this.clock.freeze();
      this.images.pause();
    } else this.images.resume();
    for (const task of this.tasks.all()) task.setHanging(hanging);
    if (!hanging) this.clock.thaw();
  }
}

/** Parses the answer to a heartbeat; returns null if it is malformed. */
function readAnswer(body: unknown): HeartbeatAnswer | null {
  try {
    return parseHeartbeatAnswer(body);
  } catch (err) {
    if (err instanceof MalformedBody) return null;
    throw err;
  }
}
