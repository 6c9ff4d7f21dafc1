/** A hash for comparing runs. */

/** Constants of the 32-bit FNV-1a hash (low half), and of a second 32-bit hash (high half). */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const SECOND_OFFSET = 0x9747b28c;
const SECOND_PRIME = 0x85ebca6b;

/** Incremental 64-bit hash of numbers and texts; not cryptographic. */
export class Digest {
  private low = FNV_OFFSET;
  private high = SECOND_OFFSET;
  private readonly float = new Float64Array(1);
  private readonly words = new Uint32Array(this.float.buffer);

  addNumber(value: number): void {
    this.float[0] = value;
    this.addWord(this.words[0]);
    this.addWord(this.words[1]);
  }

  addText(value: string): void {
    for (let i = 0; i < value.length; i++) this.addWord(value.charCodeAt(i));
  }

  hex(): string {
    return hexWord(this.high) + hexWord(this.low);
  }

  private addWord(value: number): void {
    this.low = Math.imul(this.low ^ value, FNV_PRIME);
    const mixed = Math.imul(this.high ^ value, SECOND_PRIME);
    this.high = mixed ^ (mixed >>> 15);
  }
}

function hexWord(word: number): string {
  return (word >>> 0).toString(16).padStart(8, '0');
}
