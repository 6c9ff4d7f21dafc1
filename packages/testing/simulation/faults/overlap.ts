/** Counts faults of one kind that overlap. */
/** Faults of one kind that overlap: the first begins it, the last ends it. */
export class OverlapCounter<Key> {
  private readonly counts = new Map<Key, number>();

  /** Begins for the key unless it is in force; the returned function ends this share of it. */
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
