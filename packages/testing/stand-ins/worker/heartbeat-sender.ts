/** Sends the heartbeats of a worker and follows redirects to the leader. */
import { CborClient, NoAnswer, pause, WakeableWait, type Answer, type Runtime } from '#wire';
import { parseRedirect } from '#wire/serving';
import { ControllerSelector, type ControllerAddress } from './node-choice.js';
import { HeartbeatSchedule } from './heartbeat-schedule.js';

/** How long a worker waits for the answer to a heartbeat, in seconds. */
const ANSWER_TIMEOUT_S = 4;
const MAX_ANSWER_BYTES = 64 * 1024;

/** The worker as the sender of its heartbeats sees it. */
export interface HeartbeatSource {
  /** The body of the next heartbeat. */
  nextHeartbeat(): unknown;
  /** A controller has answered the heartbeat with 200, `sentAt` of the runtime's clock. */
  answered(body: unknown, sentAt: number, node: ControllerAddress): void;
  /** A heartbeat went out to that node. */
  sent(body: unknown, node: ControllerAddress): void;
  /** A heartbeat was answered with that status, or with none in time, `sentAt` of the runtime's clock. */
  exchanged(status: number | null, sentAt: number, node: ControllerAddress): void;
  /** Resolves once the machine does not hang. */
  whenRunning(): Promise<void>;
}

/** Sends the heartbeats of one worker, one at a time, to the controller that answers them. */
export class HeartbeatSender {
  /** Its heartbeats reach no controller. */
  heartbeatsBlocked = false;
  /** No answer reaches it. */
  answersBlocked = false;
  private readonly schedule: HeartbeatSchedule;
  private readonly selector: ControllerSelector;
  private readonly wakeableWait: WakeableWait;
  private readonly stopping = new AbortController();
  private client: CborClient | null = null;

  constructor(
    private readonly runtime: Runtime,
    heartbeatIntervalS: number,
    controllers: ControllerAddress[],
    private readonly source: HeartbeatSource,
  ) {
    this.schedule = new HeartbeatSchedule(runtime, heartbeatIntervalS);
    this.selector = new ControllerSelector(controllers, () => runtime.random());
    this.wakeableWait = new WakeableWait(runtime.clock);
  }

  /** Sends heartbeats until stop(). */
  async run(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const waitS = this.schedule.dueAt() - this.runtime.clock.now();
      if (waitS > 0) await this.wakeableWait.wait(waitS * 1000, signal);
      else await this.exchange();
      await this.source.whenRunning();
    }
  }

  stop(): void {
    this.stopping.abort();
    this.closeClient();
  }

  recordChange(): void {
    this.schedule.recordChange();
    this.wakeableWait.wake();
  }

  private async exchange(): Promise<void> {
    const sentAt = this.runtime.clock.now();
    const node = this.selector.current;
    this.schedule.recordSent();
    const body = this.source.nextHeartbeat();
    const answer = await this.send(body, node, sentAt);
    await this.source.whenRunning();
    if (this.stopping.signal.aborted) return;
    const inTime = this.runtime.clock.now() - sentAt <= ANSWER_TIMEOUT_S;
    this.source.exchanged(inTime ? (answer?.status ?? null) : null, sentAt, node);
    if (answer?.status === 200 && inTime) this.source.answered(answer.body, sentAt, node);
    else if (answer?.status === 421 && inTime) this.followRedirect(parseRedirect(answer.body));
    else this.tryNextNode();
  }

  /** The answer, or null if none came within its time. */
  private async send(
    body: unknown,
    node: ControllerAddress,
    sentAt: number,
  ): Promise<Answer | null> {
    if (this.heartbeatsBlocked) return this.waitUntilTimeout(sentAt);
    this.source.sent(body, node);
    this.client ??= new CborClient(this.runtime, node.address, 1);
    const timeoutMs = ANSWER_TIMEOUT_S * 1000;
    try {
      const answer = await this.client.call('POST', '/hello', {
        timeoutMs,
        body,
        maxBytes: MAX_ANSWER_BYTES,
      });
      return this.answersBlocked ? await this.waitUntilTimeout(sentAt) : answer;
    } catch (err) {
      if (err instanceof NoAnswer) return null;
      throw err;
    }
  }

  private async waitUntilTimeout(sentAt: number): Promise<null> {
    const leftS = sentAt + ANSWER_TIMEOUT_S - this.runtime.clock.now();
    await pause(this.runtime.clock, leftS * 1000, this.stopping.signal);
    return null;
  }

  private followRedirect(leader: string | null): void {
    if (!this.selector.select(leader)) {
      this.tryNextNode();
      return;
    }
    this.closeClient();
    this.schedule.afterRedirect();
  }

  private tryNextNode(): void {
    this.closeClient();
    this.selector.selectNext();
    this.schedule.afterFailure();
  }

  private closeClient(): void {
    this.client?.close();
    this.client = null;
  }
}
