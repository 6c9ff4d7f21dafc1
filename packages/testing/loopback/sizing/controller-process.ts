import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { ProcessLog } from './process-log.js';
import {
  processorTime,
  processorTimeS,
  type ProcessorTime,
  residentMemory,
  type ResidentMemory,
  resetPeak,
} from './process-use.js';

/** How controllers are started. */
export interface ControllerCommand {
  /** Where it is started from. */
  directory: string;
  /** Program and arguments; the settings file follows. */
  command: string[];
  logLevel: string;
}

/** One run of a controller, from its start to its end. */
export interface ControllerRun {
  pid: number;
  /** Milliseconds of this process's steady clock. */
  startedAtMs: number;
  log: ProcessLog;
}

/** The controller does not run, or has ended by itself. */
export class NotRunning extends Error {}

/** A controller as a process of its own, which this process starts and ends. */
export class ControllerProcess {
  private child: ChildProcess | null = null;
  private current: ControllerRun | null = null;
  private stopped = false;

  constructor(
    readonly name: string,
    readonly index: number,
    private readonly settingsFile: string,
    private readonly controllerCommand: ControllerCommand,
  ) {}

  /** Throws NotRunning. */
  get run(): ControllerRun {
    if (this.current === null) throw new NotRunning(`${this.name} does not run`);
    if (this.alive) return this.current;
    const lastOutput =
      this.current.log.otherOutput.at(-1) ?? this.current.log.lines.at(-1)?.msg ?? '';
    throw new NotRunning(`${this.name} has ended by itself: ${lastOutput}`);
  }

  /** It was started and not ended; it may have ended by itself. */
  get running(): boolean {
    return this.current !== null;
  }

  get alive(): boolean {
    return this.child !== null && this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Starts it by another command than usual if one is given. */
  start(command: string[] = this.controllerCommand.command): ControllerRun {
    const { directory, logLevel } = this.controllerCommand;
    const [program, ...args] = command;
    const startedAtMs = performance.now();
    const child = spawn(program, [...args, this.settingsFile], {
      cwd: directory,
      env: { ...process.env, LOG_LEVEL: logLevel },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.child = child;
    this.current = { pid: child.pid!, startedAtMs, log: new ProcessLog(child.stderr!) };
    return this.current;
  }

  /** Sends the signal and resolves once the process has ended. */
  async end(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const { child } = this;
    if (this.current !== null) this.setStopped(false);
    this.child = this.current = null;
    if (child === null || child.exitCode !== null || child.signalCode !== null) return;
    child.kill(signal);
    await once(child, 'exit');
  }

  /** Lets the process stand still, or go on. */
  setStopped(stopped: boolean): void {
    if (stopped === this.stopped) return;
    this.stopped = stopped;
    this.child?.kill(stopped ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Without waiting for its end. */
  killNow(): void {
    this.child?.kill('SIGKILL');
  }

  /** Since its start; seconds. */
  processorS(): number {
    return processorTimeS(this.run.pid);
  }

  processor(): ProcessorTime {
    return processorTime(this.run.pid);
  }

  memory(): ResidentMemory {
    return residentMemory(this.run.pid);
  }

  resetPeakMemory(): void {
    resetPeak(this.run.pid);
  }
}
