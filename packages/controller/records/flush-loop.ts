import { type Clock, WakeablePause } from '#wire';
import type { Recorder } from './recorder.js';

export interface FlushLoopOptions {
  clock: Clock;
  recorder: Recorder;
  /** From one look at what is to be recorded to the next if nothing wakes the loop. */
  idleMs: number;
  /** Told after each transaction. */
  onFlushed: (signal: AbortSignal) => void;
}

/** Records what an owner has decided, one transaction after another, for as long as its term lasts. */
export class FlushLoop {
  private readonly idle: WakeablePause;
  private paused = false;
  /** Told once no transaction is under way. */
  private onRest: () => void = () => {};

  constructor(private readonly options: FlushLoopOptions) {
    this.idle = new WakeablePause(options.clock);
  }

  /** Runs until the signal aborts; rejects with TermBroken if the term must be given up. */
  async run(signal: AbortSignal): Promise<void> {
    const { recorder, idleMs, onFlushed } = this.options;
    while (!signal.aborted) {
      if (recorder.pending && !this.paused) {
        await recorder.flush(signal);
        onFlushed(signal);
      } else {
        this.onRest();
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
      this.onRest = resolve;
      this.idle.wake();
    });
  }

  /** Records again. */
  resume(): void {
    this.paused = false;
    this.onRest = () => {};
    this.idle.wake();
  }
}
