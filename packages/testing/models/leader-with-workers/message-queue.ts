/** Messages under way in the model. */

/** A message and its time of arrival, in seconds. */
interface Message {
  at: number;
  deliver: (now: number) => void;
}

/** Messages under way, delivered by the time of their arrival. */
export class MessageQueue {
  private messages: Message[] = [];

  schedule(at: number, deliver: (now: number) => void): void {
    this.messages.push({ at, deliver });
  }

  /** Delivers what has arrived by now. */
  deliverDue(now: number): void {
    const { messages } = this;
    messages.sort((first, second) => first.at - second.at);
    for (let next = messages.at(0); next && next.at <= now; next = messages.at(0)) {
      messages.shift();
      next.deliver(now);
    }
  }
}
