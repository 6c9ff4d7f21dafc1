import { BadFrame, PayloadReader, PayloadWriter } from './buffers.js';

/**
 * Frames between controllers: u32 length of what follows, u8 kind, payload (see buffers.ts for the
 * encoding of its fields).
 */
export type Frame = HelloFrame | StatusFrame | AbortFrame | CountsFrame;

/** Who speaks on this connection; always the first frame. */
export interface HelloFrame {
  kind: 'hello';
  name: string;
}

/**
 * How the sender is served by the state service and what it knows, made for one recipient. Together
 * with `echo` it lets an owner prove that nobody else can hold its part and that it knows every
 * confirmed cancellation (docs/safety.md, point 7).
 */
export interface StatusFrame {
  kind: 'status';
  /** Drawn at random when the sender's process began. */
  incarnation: number;
  /** Rises with every status frame of this life. */
  sequence: number;
  /** The newest status frame of the recipient that the sender had read; null before the first. */
  echo: StatusReference | null;
  /** How long ago the newest request was sent that the state service served; ms. */
  servedAgoMs: number;
  /** The newest request whose outcome is known was not served. */
  refused: boolean;
  /** All job records were read in this life, so `cancelled` misses none that an earlier life made. */
  loaded: boolean;
  /** The sender owns the part. */
  leading: boolean;
  /** The sender owns the part, or a claim that it sent may still be carried out. */
  mayLead: boolean;
  /** Newest owner of the part that the sender has seen; term 0 if none. */
  newestLeader: { term: number; name: string };
  /** The sender owns the part but hears next to none of the workers that should report to it. */
  unreachable: boolean;
  /** How many workers lately reported to the sender though it does not own. */
  followerHeartbeats: number;
  /** Revision up to which the sender's cache of the jobs is complete. */
  jobsRevision: number;
  /** `cancelled` holds all cancellations known to the sender that are newer than this revision. */
  cancelledSince: number;
  /** Jobs that are cancelled, or whose cancellation the sender was asked for and may have recorded. */
  cancelled: CancellationNotice[];
}

/** A cancellation that the sender knows of. */
export interface CancellationNotice {
  job: string;
  /** How long ago a user asked for it, as far as the sender knows; 0 if it is recorded. Milliseconds. */
  ageMs: number;
}

/** One status frame among those of its sender. */
export interface StatusReference {
  incarnation: number;
  sequence: number;
}

/** A user has asked for this cancellation; sent before the record is made. */
export interface AbortFrame extends CancellationNotice {
  kind: 'abort';
}

/** Task counts for display. */
export interface CountsFrame {
  kind: 'counts';
  jobs: { job: string; done: number; running: number }[];
}

const KINDS = { hello: 1, status: 2, abort: 3, counts: 4 } as const;
const MAX_FRAME = 1 << 20;

export function encodeFrame(frame: Frame): Buffer {
  const payload = new PayloadWriter().u8(KINDS[frame.kind]);
  writePayload(payload, frame);
  const body = payload.toBuffer();
  const length = Buffer.alloc(4);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

function writePayload(out: PayloadWriter, frame: Frame): void {
  switch (frame.kind) {
    case 'hello':
      out.text(frame.name);
      break;
    case 'abort':
      writeNotice(out, frame);
      break;
    case 'status':
      writeStatus(out, frame);
      break;
    case 'counts':
      out.list(frame.jobs, ({ job, done, running }) => out.text(job).u32(done).u32(running));
      break;
  }
}

function writeStatus(out: PayloadWriter, frame: StatusFrame): void {
  const { echo, newestLeader } = frame;
  out.u64(frame.incarnation).u32(frame.sequence);
  out.flags(
    frame.refused,
    frame.loaded,
    frame.leading,
    frame.mayLead,
    echo !== null,
    frame.unreachable,
  );
  if (echo) out.u64(echo.incarnation).u32(echo.sequence);
  out.u32(frame.servedAgoMs).u32(frame.followerHeartbeats);
  out.u64(newestLeader.term).text(newestLeader.name);
  out.u64(frame.jobsRevision).u64(frame.cancelledSince);
  out.list(frame.cancelled, (notice) => writeNotice(out, notice));
}

function writeNotice(out: PayloadWriter, { job, ageMs }: CancellationNotice): void {
  out.text(job).u32(ageMs);
}

/** Cuts a byte stream into frames; throws BadFrame on what no controller sends. */
export class FrameReader {
  private held: Buffer = Buffer.alloc(0);

  push(chunk: Buffer): Frame[] {
    this.held = this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
    const frames: Frame[] = [];
    while (this.held.length >= 4) {
      const length = this.held.readUInt32BE(0);
      if (length < 1 || length > MAX_FRAME) throw new BadFrame(`frame of ${length} bytes`);
      if (this.held.length < 4 + length) break;
      frames.push(readFrame(new PayloadReader(this.held.subarray(4, 4 + length))));
      this.held = this.held.subarray(4 + length);
    }
    return frames;
  }
}

function readFrame(payload: PayloadReader): Frame {
  const kind = payload.u8();
  switch (kind) {
    case KINDS.hello:
      return { kind: 'hello', name: payload.text() };
    case KINDS.abort:
      return { kind: 'abort', ...readNotice(payload) };
    case KINDS.status:
      return readStatus(payload);
    case KINDS.counts:
      return {
        kind: 'counts',
        jobs: payload.list(() => ({
          job: payload.text(),
          done: payload.u32(),
          running: payload.u32(),
        })),
      };
    default:
      throw new BadFrame(`kind ${kind}`);
  }
}

function readStatus(payload: PayloadReader): StatusFrame {
  const incarnation = payload.u64();
  const sequence = payload.u32();
  const flag = payload.flags();
  const echo = flag(4) ? { incarnation: payload.u64(), sequence: payload.u32() } : null;
  return {
    kind: 'status',
    incarnation,
    sequence,
    echo,
    refused: flag(0),
    loaded: flag(1),
    leading: flag(2),
    mayLead: flag(3),
    unreachable: flag(5),
    servedAgoMs: payload.u32(),
    followerHeartbeats: payload.u32(),
    newestLeader: { term: payload.u64(), name: payload.text() },
    jobsRevision: payload.u64(),
    cancelledSince: payload.u64(),
    cancelled: payload.list(() => readNotice(payload)),
  };
}

function readNotice(payload: PayloadReader): CancellationNotice {
  return { job: payload.text(), ageMs: payload.u32() };
}
