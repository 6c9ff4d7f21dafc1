/** Sends the heartbeats of a worker and follows redirects to the leader. */
import { CborClient, NoAnswer, pause, WakeableWait, type Answer, type Runtime } from '#wire';
import { parseRedirect } from '#wire/serving';
import { ControllerSelector, type ControllerAddress } from './controller-selector.js';
import { HeartbeatSchedule } from './heartbeat-schedule.js';

const ANSWER_TIMEOUT_S = 4;
const MAX_ANSWER_BYTES = 64 * 1024;

/** The part of a worker that its heartbeat sender uses. */
export interface HeartbeatSource {
  /** Returns the body of the next heartbeat. */
  nextHeartbeat(): unknown;
  /** Called when a heartbeat was answered with status 200; `sentAt` in seconds of the monotonic clock. */
  answered(body: unknown, sentAt: number, node: ControllerAddress): void;
  /** Called when a heartbeat is sent to the node. */
  sent(body: unknown, node: ControllerAddress): void;
  /**
   * Called after each heartbeat with the status of the answer, or null if none came before the timeout;
   * `sentAt` in seconds of the monotonic clock.
   */
  exchanged(status: number | null, sentAt: number, node: ControllerAddress): void;
  /** Resolves when the machine does not hang. */
  whenRunning(): Promise<void>;
}

/**
 * Sends the heartbeats of one worker, one at a time. After a redirect the sender changes to the
 * controller named, and after a failure to the next controller.
 */
export class HeartbeatSender {
  /** Simulates a fault in which no heartbeat reaches a controller. */
  heartbeatsBlocked = false;
  /** Simulates a fault in which no answer reaches the worker. */
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

  /** Sends heartbeats until stop() is called. */
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

  /** Sends a heartbeat and returns its answer, or null if no answer came before the timeout. */
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
