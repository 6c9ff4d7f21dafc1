/** A set of task indexes of one job, kept as bits so that the largest legal job stays small. */
export class TaskSet {
  private readonly bits: Uint8Array;
  size = 0;

  constructor(readonly capacity: number) {
    this.bits = new Uint8Array(Math.ceil(capacity / 8));
  }

  has(index: number): boolean {
    return (this.bits[index >> 3] & (1 << (index & 7))) !== 0;
  }

  /** True if the index was not in the set before. */
  add(index: number): boolean {
    if (index >= this.capacity || this.has(index)) return false;
    this.bits[index >> 3] |= 1 << (index & 7);
    this.size++;
    return true;
  }

  addAll(): void {
    for (let i = 0; i < this.capacity; i++) this.add(i);
  }

  /** Chunks of the set, each of `chunkTasks` (a multiple of 8) tasks, in text form. */
  chunkText(chunk: number, chunkTasks: number): string {
    const from = (chunk * chunkTasks) >> 3;
    const to = Math.min(this.bits.length, from + (chunkTasks >> 3));
    return Buffer.from(this.bits.subarray(from, to)).toString('base64');
  }

  addChunk(chunk: number, chunkTasks: number, text: string): void {
    const bytes = Buffer.from(text, 'base64');
    const first = chunk * chunkTasks;
    for (let i = 0; i < bytes.length * 8; i++) {
      if (bytes[i >> 3] & (1 << (i & 7))) this.add(first + i);
    }
  }
}
