/** Counts overlapping faults of one kind. */
/** Counts overlapping faults by key, so that the first one starts the effect and the last one stops it. */
export class OverlapCounter<Key> {
  private readonly counts = new Map<Key, number>();

  /**
   * Begins a fault, and calls `start` if no other fault with the key is active. The returned function ends the fault,
   * and calls `stop` if no other fault with the key is active then.
   */
  begin(key: Key, start: () => void, stop: () => void): () => void {
    const before = this.counts.get(key) ?? 0;
    this.counts.set(key, before + 1);
    if (before === 0) start();
    return () => {
      const remaining = (this.counts.get(key) ?? 0) - 1;
      this.counts.set(key, remaining);
      if (remaining === 0) stop();
    };
  }
}
