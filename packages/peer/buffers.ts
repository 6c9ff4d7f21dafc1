/** A frame that no controller sends: too large, cut short, or of an unknown kind. */
export class BadFrame extends Error {}

/** Builds the payload of a frame, field by field. All numbers are big-endian. */
export class PayloadWriter {
  private readonly parts: Buffer[] = [];

  u8(value: number): this {
    const bytes = Buffer.alloc(1);
    bytes.writeUInt8(value);
    return this.push(bytes);
  }

  /** Values outside 32 bits are cut to the nearest that fits. */
  u32(value: number): this {
    const bytes = Buffer.alloc(4);
    bytes.writeUInt32BE(Math.min(0xffffffff, Math.max(0, Math.round(value))));
    return this.push(bytes);
  }

  /** A non-negative integer that JavaScript holds exactly, or Infinity (all bits set). */
  u64(value: number): this {
    const bytes = Buffer.alloc(8);
    bytes.writeBigUInt64BE(value === Infinity ? INFINITE : BigInt(value));
    return this.push(bytes);
  }

  /** UTF-8 after its length in 16 bits. */
  text(value: string): this {
    const content = Buffer.from(value, 'utf8');
    const length = Buffer.alloc(2);
    length.writeUInt16BE(content.length);
    return this.push(length).push(content);
  }

  /** Bits of one byte, the first flag lowest; eight at the most. */
  flags(...values: boolean[]): this {
    return this.u8(values.reduce((bits, value, i) => bits | (value ? 1 << i : 0), 0));
  }

  /** A count in 32 bits, then each item. */
  list<T>(items: readonly T[], write: (item: T) => void): this {
    this.u32(items.length);
    for (const item of items) write(item);
    return this;
  }

  toBuffer(): Buffer {
    return Buffer.concat(this.parts);
  }

  private push(bytes: Buffer): this {
    this.parts.push(bytes);
    return this;
  }
}

const INFINITE = 0xffffffffffffffffn;

/** Reads a payload in the order in which it was written; throws BadFrame where it is too short. */
export class PayloadReader {
  private at = 0;

  constructor(private readonly bytes: Buffer) {}

  u8(): number {
    return this.bytes.readUInt8(this.advance(1));
  }

  u32(): number {
    return this.bytes.readUInt32BE(this.advance(4));
  }

  u64(): number {
    const value = this.bytes.readBigUInt64BE(this.advance(8));
    if (value === INFINITE) return Infinity;
    if (value > BigInt(Number.MAX_SAFE_INTEGER)) throw new BadFrame('number too large');
    return Number(value);
  }

  text(): string {
    const length = this.bytes.readUInt16BE(this.advance(2));
    const from = this.advance(length);
    return this.bytes.toString('utf8', from, from + length);
  }

  flags(): (bit: number) => boolean {
    const bits = this.u8();
    return (bit) => (bits & (1 << bit)) !== 0;
  }

  list<T>(read: () => T): T[] {
    const count = this.u32();
    // Each item takes a byte or more, so a longer list is not one that was written here.
    if (count > this.bytes.length - this.at) throw new BadFrame('list cut short');
    const items: T[] = [];
    for (let i = 0; i < count; i++) items.push(read());
    return items;
  }

  private advance(size: number): number {
    const from = this.at;
    if (from + size > this.bytes.length) throw new BadFrame('cut short');
    this.at = from + size;
    return from;
  }
}
