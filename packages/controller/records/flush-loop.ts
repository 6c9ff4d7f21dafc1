/** The loop that makes a leader's decisions durable. */
import { type Clock, WakeableWait } from '#wire';
import type { Recorder } from './recorder.js';

/** Dependencies and settings of a `FlushLoop`. */
export interface FlushLoopOptions {
  clock: Clock;
  recorder: Recorder;
  /** Time between two checks for unrecorded changes if nothing wakes the loop; milliseconds. */
  idleMs: number;
  /** Called after each transaction. */
  onFlushed: (signal: AbortSignal) => void;
}

/** Records a leader's decisions, one transaction after another, for the duration of its term. */
export class FlushLoop {
  private readonly idleWait: WakeableWait;
  private paused = false;
  /** Resolves the promise of `pause`; called while no transaction is in progress. */
  private resolvePause: (() => void) | null = null;

  constructor(private readonly options: FlushLoopOptions) {
    this.idleWait = new WakeableWait(options.clock);
  }

  /** Runs until the signal aborts; rejects with TermLostError if the term must end. */
  async run(signal: AbortSignal): Promise<void> {
    const { recorder, idleMs, onFlushed } = this.options;
    while (!signal.aborted) {
      if (recorder.hasPendingChanges && !this.paused) {
        await recorder.flush(signal);
        onFlushed(signal);
      } else {
        this.resolvePause?.();
        await this.idleWait.wait(idleMs, signal);
      }
    }
  }

  /** Makes the loop check for unrecorded changes now. */
  wake(): void {
    this.idleWait.wake();
  }

  /** Stops recording; resolves once no transaction is in progress. */
  pause(): Promise<void> {
    this.paused = true;
    return new Promise((resolve) => {
      this.resolvePause = resolve;
      this.idleWait.wake();
    });
  }

  /** Resumes recording after a pause. */
  resume(): void {
    this.paused = false;
    this.resolvePause = null;
    this.idleWait.wake();
  }
}
