/** The messages in flight in the model. */

/** A message and the time of its delivery in seconds. */
interface Message {
  at: number;
  deliver: (now: number) => void;
}

/** Holds messages in flight and delivers them in the order of their delivery times. */
export class MessageQueue {
  private messages: Message[] = [];

  schedule(at: number, deliver: (now: number) => void): void {
    this.messages.push({ at, deliver });
  }

  /** Delivers all messages that are due. */
  deliverDue(now: number): void {
    const { messages } = this;
    messages.sort((first, second) => first.at - second.at);
    for (let next = messages.at(0); next && next.at <= now; next = messages.at(0)) {
      messages.shift();
      next.deliver(now);
    }
  }
}
