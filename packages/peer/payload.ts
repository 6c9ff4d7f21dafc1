/** The payload of a frame, field by field. All numbers are big-endian. */

/** A frame that no controller sends: too large, cut short, or of an unknown kind. */
export class BadFrame extends Error {
  override readonly name = 'BadFrame';

  constructor(
    /** What is wrong with it. */
    readonly reason: string,
  ) {
    super(`not a frame of a controller: ${reason}`);
  }
}

/** How u64 holds Infinity. */
const INFINITY_U64 = 0xffffffffffffffffn;
const MAX_U32 = 0xffffffff;
const FLAGS_PER_BYTE = 8;

/** Builds a payload, field by field. */
export class PayloadWriter {
  private readonly fields: Buffer[] = [];

  /** An integer of 8 bits. */
  u8(value: number): this {
    const bytes = Buffer.alloc(1);
    bytes.writeUInt8(value);
    return this.push(bytes);
  }

  /** An integer of 32 bits; other values become the nearest one. */
  u32(value: number): this {
    const bytes = Buffer.alloc(4);
    bytes.writeUInt32BE(Math.min(MAX_U32, Math.max(0, Math.round(value))));
    return this.push(bytes);
  }

  /** A non-negative integer that JavaScript holds exactly, or Infinity (all bits set). */
  u64(value: number): this {
    const bytes = Buffer.alloc(8);
    bytes.writeBigUInt64BE(value === Infinity ? INFINITY_U64 : BigInt(value));
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
  flags(values: readonly boolean[]): this {
    return this.u8(values.reduce((bits, value, i) => bits | (value ? 1 << i : 0), 0));
  }

  /** A count in 32 bits, then each item. */
  list<T>(items: readonly T[], write: (item: T) => void): this {
    this.u32(items.length);
    for (const item of items) write(item);
    return this;
  }

  /** All that was written. */
  toBuffer(): Buffer {
    return Buffer.concat(this.fields);
  }

  private push(bytes: Buffer): this {
    this.fields.push(bytes);
    return this;
  }
}

/** Reads a payload in the order in which it was written; throws BadFrame where it is too short. */
export class PayloadReader {
  /** Where the next field begins. */
  private offset = 0;

  constructor(private readonly bytes: Buffer) {}

  /** An integer of 8 bits. */
  u8(): number {
    return this.bytes.readUInt8(this.advance(1));
  }

  /** An integer of 32 bits. */
  u32(): number {
    return this.bytes.readUInt32BE(this.advance(4));
  }

  /** An integer that JavaScript holds exactly, or Infinity. */
  u64(): number {
    const value = this.bytes.readBigUInt64BE(this.advance(8));
    if (value === INFINITY_U64) return Infinity;
    if (value > BigInt(Number.MAX_SAFE_INTEGER)) throw new BadFrame('number too large');
    return Number(value);
  }

  /** UTF-8 after its length in 16 bits. */
  text(): string {
    const length = this.bytes.readUInt16BE(this.advance(2));
    const from = this.advance(length);
    return this.bytes.toString('utf8', from, from + length);
  }

  /** All bits of one byte, the lowest first. */
  flags(): boolean[] {
    const bits = this.u8();
    return Array.from({ length: FLAGS_PER_BYTE }, (_, i) => (bits & (1 << i)) !== 0);
  }

  /** A count in 32 bits, then each item. */
  list<T>(read: () => T): T[] {
    const count = this.u32();
    // Each item takes a byte or more, so that a longer list can't be whole.
    if (count > this.bytes.length - this.offset) throw new BadFrame('list cut short');
    const items: T[] = [];
    for (let i = 0; i < count; i++) items.push(read());
    return items;
  }

  private advance(size: number): number {
    const from = this.offset;
    if (from + size > this.bytes.length) throw new BadFrame('cut short');
    this.offset = from + size;
    return from;
  }
}
