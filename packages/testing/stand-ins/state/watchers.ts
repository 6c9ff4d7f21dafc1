/** The open watches of the state service. */
import type { Clock } from '#wire';

interface Watcher {
  prefix: string;
  wake: () => void;
}

/** Watches that wait until a key with their prefix changes. */
export class Watchers {
  private readonly watchers = new Set<Watcher>();

  constructor(private readonly clock: Clock) {}

  /** Resolves when a key with the prefix changes, or at the time `until` (seconds of the clock). */
  wait(prefix: string, until: number): Promise<void> {
    return new Promise((resolve) => {
      const delayMs = Math.max(0, (until - this.clock.now()) * 1000);
      const wake = () => {
        timer.cancel();
        this.watchers.delete(watcher);
        resolve();
      };
      const timer = this.clock.setTimer(wake, delayMs);
      const watcher: Watcher = { prefix, wake };
      this.watchers.add(watcher);
    });
  }

  notify(keys: string[]): void {
    for (const watcher of [...this.watchers]) {
      if (keys.some((key) => key.startsWith(watcher.prefix))) watcher.wake();
    }
  }

  wakeAll(): void {
    for (const watcher of [...this.watchers]) watcher.wake();
  }
}
