/** The network links between the controllers of the model. */
import type { CancellationFrame, StatusFrame } from '#peer';
import { STEP_S } from './timing.js';

/** A message between two controllers. */
export type Message = { kind: 'status'; frame: StatusFrame } | CancellationFrame;

/** One direction of a connection. Delivers in order; can be delayed, can stall, or can drop messages for some time. */
export class LinkModel {
  delayS = STEP_S / 2;
  heldUntil = -Infinity;
  deadUntil = -Infinity;
  private readonly queue: { at: number; message: Message }[] = [];

  send(message: Message, now: number): void {
    if (now >= this.deadUntil) this.queue.push({ at: now + this.delayS, message });
  }

  takeArrived(now: number): Message[] {
    if (now < this.heldUntil) return [];
    const next = this.queue.findIndex((m) => m.at > now);
    const arrived = this.queue.splice(0, next < 0 ? this.queue.length : next);
    return arrived.map((m) => m.message);
  }
}
