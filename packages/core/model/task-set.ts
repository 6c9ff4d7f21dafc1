/** Sets of tasks of one job, and their encoding for records. */

/** A set of task indexes of one job, kept as a bitmap so that the set of the largest permitted job stays small. */
export class TaskSet {
  private readonly bits: Uint8Array;
  /** How many indexes are in the set. */
  size = 0;

  constructor(readonly capacity: number) {
    this.bits = new Uint8Array(Math.ceil(capacity / 8));
  }

  /** Whether the index is in the set. */
  has(index: number): boolean {
    return (this.bits[index >> 3] & (1 << (index & 7))) !== 0;
  }

  /** Adds the index. Returns whether it is within the capacity and was not in the set before. */
  add(index: number): boolean {
    if (index >= this.capacity || this.has(index)) return false;
    this.bits[index >> 3] |= 1 << (index & 7);
    this.size++;
    return true;
  }

  /** Adds all indexes. */
  addAll(): void {
    for (let i = 0; i < this.capacity; i++) this.add(i);
  }

  /** Encodes the bits of `count` indexes from `first` on in base64; `count` and `first` must be multiples of 8. */
  toBase64(first: number, count: number): string {
    const from = first >> 3;
    const to = Math.min(this.bits.length, from + (count >> 3));
    return Buffer.from(this.bits.subarray(from, to)).toString('base64');
  }

  /** Adds the indexes that `toBase64` encoded from `first` on. */
  addBase64(first: number, text: string): void {
    const bytes = Buffer.from(text, 'base64');
    for (let i = 0; i < bytes.length * 8; i++) {
      if (bytes[i >> 3] & (1 << (i & 7))) this.add(first + i);
    }
  }
}
