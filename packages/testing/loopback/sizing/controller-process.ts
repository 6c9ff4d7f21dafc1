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
} from './process-usage.js';

/** How controller processes are started. */
export interface ControllerCommand {
  /** Working directory of the process. */
  directory: string;
  /** Program and arguments, without the settings file, which is added as the last argument. */
  command: string[];
  logLevel: string;
}

/** One run of a controller process, from its start to its exit. */
export interface ControllerRun {
  pid: number;
  /** Milliseconds of the measuring process's monotonic clock. */
  startedAtMs: number;
  log: ProcessLog;
}

/** The controller is not running: it was not started, was ended, or exited by itself. */
export class NotRunning extends Error {}

/** A controller in a child process, which the measuring process starts and ends. */
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

  /** The current run; throws NotRunning if the process has no run or has exited. */
  get run(): ControllerRun {
    if (this.current === null) throw new NotRunning(`${this.name} is not running`);
    if (this.alive) return this.current;
    const lastOutput =
      this.current.log.otherOutput.at(-1) ?? this.current.log.lines.at(-1)?.msg ?? '';
    throw new NotRunning(`${this.name} exited unexpectedly; its last output: ${lastOutput}`);
  }

  /** Whether the controller was started and not ended; its process may have exited by itself. */
  get running(): boolean {
    return this.current !== null;
  }

  get alive(): boolean {
    return this.child !== null && this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Starts the controller, by default with the command that was given to the constructor. */
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

  /** Sends the signal and resolves once the process has exited. */
  async end(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const { child } = this;
    if (this.current !== null) this.setStopped(false);
    this.child = this.current = null;
    if (child === null || child.exitCode !== null || child.signalCode !== null) return;
    child.kill(signal);
    await once(child, 'exit');
  }

  /** Stops the process with SIGSTOP, or continues it with SIGCONT. */
  setStopped(stopped: boolean): void {
    if (stopped === this.stopped) return;
    this.stopped = stopped;
    this.child?.kill(stopped ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Kills the process without waiting for its exit. */
  killNow(): void {
    this.child?.kill('SIGKILL');
  }

  /** Processor time of all threads since the start of the process, in seconds. */
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
