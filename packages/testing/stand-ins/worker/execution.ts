/** Progress of running tasks over time. */
import type { Clock, Timer } from '#wire';

/** Progress of a running task or gang, in seconds of run time at nominal speed. */
export class Execution {
  private progressS: number;
  /** When `progressS` was last updated; null while paused. */
  private runningSince: number | null = null;
  private completion: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    /** Run time until completion; Infinity if the task never completes. */
    private readonly totalS: number,
    startS: number,
    private speed: number,
    private readonly onComplete: () => void,
  ) {
    this.progressS = Math.min(startS, totalS);
  }

  progress(): number {
    if (this.runningSince === null) return this.progressS;
    const ranS = (this.clock.now() - this.runningSince) * this.speed;
    return Math.min(this.totalS, this.progressS + ranS);
  }

  run(): void {
    this.pause();
    this.runningSince = this.clock.now();
    const leftS = (this.totalS - this.progressS) / this.speed;
    if (leftS === Infinity) return;
    this.completion = this.clock.setTimer(() => {
      this.pause();
      this.progressS = this.totalS;
      this.onComplete();
    }, leftS * 1000);
  }

  /** Stops the progress until run() is called. */
  pause(): void {
    this.progressS = this.progress();
    this.runningSince = null;
    this.completion?.cancel();
    this.completion = null;
  }

  setSpeed(speed: number): void {
    const running = this.runningSince !== null;
    this.pause();
    this.speed = speed;
    if (running) this.run();
  }
}
