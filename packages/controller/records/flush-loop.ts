/** The loop that records what a leader decides. */
import { type Clock, WakeableWait } from '#wire';
import type { Recorder } from './recorder.js';

/** What a `FlushLoop` works on. */
export interface FlushLoopOptions {
  clock: Clock;
  recorder: Recorder;
  /** From one check of what is to be recorded to the next if nothing wakes the loop; milliseconds. */
  idleMs: number;
  /** Called after each transaction. */
  onFlushed: (signal: AbortSignal) => void;
}

/** Records what a leader has decided, one transaction after another, for as long as its term lasts. */
export class FlushLoop {
  private readonly idleWait: WakeableWait;
  private paused = false;
  /** Called while no transaction is under way. */
  private resolvePause: (() => void) | null = null;

  constructor(private readonly options: FlushLoopOptions) {
    this.idleWait = new WakeableWait(options.clock);
  }

  /** Runs until the signal aborts; rejects with TermBroken if the term must end. */
  async run(signal: AbortSignal): Promise<void> {
    const { recorder, idleMs, onFlushed } = this.options;
    while (!signal.aborted) {
      if (recorder.pending && !this.paused) {
        await recorder.flush(signal);
        onFlushed(signal);
      } else {
        this.resolvePause?.();
        await this.idleWait.wait(idleMs, signal);
      }
    }
  }

  /** There may be something to record. */
  wake(): void {
    this.idleWait.wake();
  }

  /** Records nothing more; resolves once no transaction is under way. */
  pause(): Promise<void> {
    this.paused = true;
    return new Promise((resolve) => {
      this.resolvePause = resolve;
      this.idleWait.wake();
    });
  }

  /** Records again after a pause. */
  resume(): void {
    this.paused = false;
    this.resolvePause = null;
    this.idleWait.wake();
  }
}
