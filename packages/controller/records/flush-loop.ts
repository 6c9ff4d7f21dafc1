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
  private readonly idle: WakeableWait;
  private paused = false;
  /** Called while no transaction is under way. */
  private onIdle: (() => void) | null = null;

  constructor(private readonly options: FlushLoopOptions) {
    this.idle = new WakeableWait(options.clock);
  }

  /** Runs until the signal aborts; rejects with TermBroken if the term must end. */
  async run(signal: AbortSignal): Promise<void> {
    const { recorder, idleMs, onFlushed } = this.options;
    while (!signal.aborted) {
      if (recorder.pending && !this.paused) {
        await recorder.flush(signal);
        onFlushed(signal);
      } else {
        this.onIdle?.();
        await this.idle.wait(idleMs, signal);
      }
    }
  }

  /** There may be something to record. */
  wake(): void {
    this.idle.wake();
  }

  /** Records nothing more; resolves once no transaction is under way. */
  pause(): Promise<void> {
    this.paused = true;
    return new Promise((resolve) => {
      this.onIdle = resolve;
      this.idle.wake();
    });
  }

  /** Records again after a pause. */
  resume(): void {
    this.paused = false;
    this.onIdle = null;
    this.idle.wake();
  }
}
