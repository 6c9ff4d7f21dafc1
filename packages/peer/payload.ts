/** Encodes and decodes the fields of a frame's payload. All numbers are big-endian. */

/** Thrown for input that violates the peer protocol, such as a truncated frame or an unknown kind. */
export class BadFrame extends Error {
  override readonly name = 'BadFrame';

  constructor(
    /** What is wrong with the frame. */
    readonly reason: string,
  ) {
    super(`malformed peer frame: ${reason}`);
  }
}

/** The u64 value that encodes Infinity. */
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

  /** An unsigned integer of 32 bits; other values are rounded and clamped to that range. */
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

  /** A UTF-8 string after its length in bytes, in 16 bits. */
  text(value: string): this {
    const content = Buffer.from(value, 'utf8');
    const length = Buffer.alloc(2);
    length.writeUInt16BE(content.length);
    return this.push(length).push(content);
  }

  /** Up to eight flags as the bits of one byte; the first flag is the lowest bit. */
  flags(values: readonly boolean[]): this {
    return this.u8(values.reduce((bits, value, i) => bits | (value ? 1 << i : 0), 0));
  }

  /** The number of items in 32 bits, then each item. */
  list<T>(items: readonly T[], write: (item: T) => void): this {
    this.u32(items.length);
    for (const item of items) write(item);
    return this;
  }

  /** All fields written so far. */
  toBuffer(): Buffer {
    return Buffer.concat(this.fields);
  }

  private push(bytes: Buffer): this {
    this.fields.push(bytes);
    return this;
  }
}

/** Reads fields in the order in which they were written; throws BadFrame if the payload is too short. */
export class PayloadReader {
  /** Offset of the next field in bytes. */
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
    if (value > BigInt(Number.MAX_SAFE_INTEGER))
      throw new BadFrame('number above Number.MAX_SAFE_INTEGER');
    return Number(value);
  }

  /** A UTF-8 string after its length in bytes, in 16 bits. */
  text(): string {
    const length = this.bytes.readUInt16BE(this.advance(2));
    const from = this.advance(length);
    return this.bytes.toString('utf8', from, from + length);
  }

  /** All eight flags of one byte, the lowest bit first. */
  flags(): boolean[] {
    const bits = this.u8();
    return Array.from({ length: FLAGS_PER_BYTE }, (_, i) => (bits & (1 << i)) !== 0);
  }

  /** The number of items in 32 bits, then each item. */
  list<T>(read: () => T): T[] {
    const count = this.u32();
    // Each item takes at least one byte, so a count above the number of remaining bytes is invalid.
    if (count > this.bytes.length - this.offset) throw new BadFrame('list is truncated');
    const items: T[] = [];
    for (let i = 0; i < count; i++) items.push(read());
    return items;
  }

  /** Whether all fields have been read. */
  get isAtEnd(): boolean {
    return this.offset === this.bytes.length;
  }

  private advance(size: number): number {
    const from = this.offset;
    if (from + size > this.bytes.length) throw new BadFrame('payload is truncated');
    this.offset = from + size;
    return from;
  }
}
