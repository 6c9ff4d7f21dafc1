import type { Clock, Timer } from '#wire';

/** A clock that advances only when a test moves it. */
export class ManualClock implements Clock {
  private nowMs = 0;
  private readonly pending = new Set<{ atMs: number; callback: () => void }>();

  now(): number {
    return this.nowMs / 1000;
  }

  wallMs(): number {
    return this.nowMs;
  }

  setTimer(callback: () => void, delayMs: number): Timer {
    const timer = { atMs: this.nowMs + delayMs, callback };
    this.pending.add(timer);
    return { cancel: () => this.pending.delete(timer) };
  }

  get timers(): number {
    return this.pending.size;
  }

  /** Advances the clock without running timers, as when a computation blocks the process. */
  advanceWithoutTimers(ms: number): void {
    this.nowMs += ms;
  }

  advance(ms: number): void {
    const end = this.nowMs + ms;
    for (;;) {
      const due = [...this.pending].filter((timer) => timer.atMs <= end);
      if (due.length === 0) break;
      const next = due.reduce((first, other) => (other.atMs < first.atMs ? other : first));
      this.pending.delete(next);
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.callback();
    }
    this.nowMs = Math.max(this.nowMs, end);
  }
}
