/**
 * Encodes and decodes frames. A frame is a u32 length of the remaining bytes, a u8 kind and a payload, whose
 * field encodings are in payload.ts. Other versions read and write the same bytes.
 */
import type { CancellationNotice, Frame, StatusFrame } from './frames.js';
import { BadFrame, PayloadReader, PayloadWriter } from './payload.js';

/** The byte for each kind of frame. */
const KINDS = { hello: 1, status: 2, cancel: 3, counts: 4 } as const;
/** Size of the length before each frame, in bytes. */
const LENGTH_PREFIX_BYTES = 4;
/** Largest frame that is accepted, without its length prefix. */
const MAX_FRAME_BYTES = 1 << 20;

/** Encodes a frame, including its length prefix. */
export function encodeFrame(frame: Frame): Buffer {
  const payload = new PayloadWriter().u8(KINDS[frame.kind]);
  writePayload(payload, frame);
  const body = payload.toBuffer();
  const length = Buffer.alloc(LENGTH_PREFIX_BYTES);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

/** Decodes a byte stream into frames. */
export class FrameReader {
  /** Received bytes of an incomplete frame. */
  private pending: Buffer = Buffer.alloc(0);

  /** Adds received bytes and returns the frames completed by them; throws BadFrame on malformed input. */
  push(chunk: Buffer): Frame[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: Frame[] = [];
    while (this.pending.length >= LENGTH_PREFIX_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length < 1 || length > MAX_FRAME_BYTES) throw new BadFrame(`length of ${length} bytes`);
      const end = LENGTH_PREFIX_BYTES + length;
      if (this.pending.length < end) break;
      frames.push(readFrame(new PayloadReader(this.pending.subarray(LENGTH_PREFIX_BYTES, end))));
      this.pending = this.pending.subarray(end);
    }
    return frames;
  }
}

function writePayload(payload: PayloadWriter, frame: Frame): void {
  switch (frame.kind) {
    case 'hello':
      payload.text(frame.name);
      break;
    case 'cancel':
      writeNotice(payload, frame);
      break;
    case 'status':
      writeStatus(payload, frame);
      break;
    case 'counts':
      payload.list(frame.jobs, ({ job, done, running }) => {
        payload.text(job).u32(done).u32(running);
      });
      break;
  }
}

function writeStatus(payload: PayloadWriter, frame: StatusFrame): void {
  const { echo, newestLeader } = frame;
  const { refused, loaded, leading, mayLead, unreachable } = frame;
  payload.u64(frame.incarnation).u32(frame.sequence);
  payload.flags([refused, loaded, leading, mayLead, echo !== null, unreachable]);
  if (echo) payload.u64(echo.incarnation).u32(echo.sequence);
  payload.u32(frame.servedAgoMs).u32(frame.followerHeartbeats);
  payload.u64(newestLeader.term).text(newestLeader.name);
  payload.u64(frame.jobsRevision).u64(frame.cancelledSince);
  payload.list(frame.cancelled, (notice) => {
    writeNotice(payload, notice);
  });
  // Other versions write no such field, and ignore what follows the list.
  if (frame.newestFencingToken > 0) payload.u64(frame.newestFencingToken);
}

function writeNotice(payload: PayloadWriter, { job, ageMs }: CancellationNotice): void {
  payload.text(job).u32(ageMs);
}

function readFrame(payload: PayloadReader): Frame {
  const kind = payload.u8();
  switch (kind) {
    case KINDS.hello:
      return { kind: 'hello', name: payload.text() };
    case KINDS.cancel:
      return { kind: 'cancel', ...readNotice(payload) };
    case KINDS.status:
      return readStatus(payload);
    case KINDS.counts:
      return { kind: 'counts', jobs: payload.list(() => readCount(payload)) };
    default:
      throw new BadFrame(`unknown kind ${kind}`);
  }
}

/** The order of the reads is the order of the fields in the payload. */
function readStatus(payload: PayloadReader): StatusFrame {
  const incarnation = payload.u64();
  const sequence = payload.u32();
  const [refused, loaded, leading, mayLead, hasEcho, unreachable] = payload.flags();
  const echo = hasEcho ? { incarnation: payload.u64(), sequence: payload.u32() } : null;
  return {
    kind: 'status',
    incarnation,
    sequence,
    echo,
    refused,
    loaded,
    leading,
    mayLead,
    unreachable,
    servedAgoMs: payload.u32(),
    followerHeartbeats: payload.u32(),
    newestLeader: { term: payload.u64(), name: payload.text() },
    jobsRevision: payload.u64(),
    cancelledSince: payload.u64(),
    cancelled: payload.list(() => readNotice(payload)),
    newestFencingToken: payload.isAtEnd ? 0 : payload.u64(),
  };
}

function readNotice(payload: PayloadReader): CancellationNotice {
  return { job: payload.text(), ageMs: payload.u32() };
}

function readCount(payload: PayloadReader): { job: string; done: number; running: number } {
  return { job: payload.text(), done: payload.u32(), running: payload.u32() };
}
