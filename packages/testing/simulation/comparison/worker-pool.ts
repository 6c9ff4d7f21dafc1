/** Executes each run in a separate process, with a limit on concurrent processes. */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { PlannedRun, RunOutcome } from './run-outcome.js';
import type { PlayRequest } from './worker.js';

const WORKER_PROGRAM = fileURLToPath(new URL('worker.js', import.meta.url));
/** Output of runs goes to standard error, because standard output contains the comparison. */
const STDERR_FD = 2;

/** Executes runs in child processes, up to a maximum number at the same time. */
export class WorkerPool {
  private running = 0;
  private readonly waiting: (() => void)[] = [];

  /** `size` is the maximum number of concurrent processes. */
  constructor(private readonly size: number) {}

  /** Executes the run with the simulation module at the path `simulation`; never rejects. */
  async play(simulation: string, run: PlannedRun): Promise<RunOutcome> {
    await this.acquireSlot();
    try {
      return await playInProcess({ simulation, run });
    } catch (error) {
      return { kind: 'failed', reason: String(error) };
    } finally {
      this.releaseSlot();
    }
  }

  private async acquireSlot(): Promise<void> {
    if (this.running < this.size) {
      this.running++;
      return;
    }
    await new Promise<void>((resolve) => this.waiting.push(resolve));
  }

  /** Passes the slot to the next waiting run, or frees the slot. */
  private releaseSlot(): void {
    const next = this.waiting.shift();
    if (next) next();
    else this.running--;
  }
}

async function playInProcess(request: PlayRequest): Promise<RunOutcome> {
  const worker = fork(WORKER_PROGRAM, {
    serialization: 'advanced',
    stdio: ['ignore', STDERR_FD, STDERR_FD, 'ipc'],
  });
  const received: { outcome: RunOutcome | null } = { outcome: null };
  worker.once('message', (message) => {
    received.outcome = message as RunOutcome;
  });
  const closed = once(worker, 'close');
  worker.send(request);
  const [code, signal] = (await closed) as [number | null, NodeJS.Signals | null];
  if (received.outcome !== null) return received.outcome;
  return { kind: 'failed', reason: `the process ended early (${signal ?? String(code)})` };
}
