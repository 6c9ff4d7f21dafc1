import { type Runtime, WakeablePause } from '#wire';
import {
  type LeaderElection,
  shardKey,
  type PrefixCache,
  type StateClient,
  type Term,
} from '#store';
import { decodeMove, moveKey, type SeenMove } from './move-record.js';
import type { MoveLimits } from './move-source.js';
import type { RecordsAhead } from './record-copy.js';
import { TransferSource } from './transfer-source.js';
import { TransferTarget } from './transfer-target.js';

/** The owner of a part as far as a move concerns it. */
export interface TransferableLeader {
  readonly term: Term;
  /** Its records are read, and it decides. */
  readonly ready: boolean;
  /** Stops all decisions; resolves once none is on its way to the state service or the cloud. */
  pause(): Promise<void>;
  /** Decides again. */
  resume(): void;
}

/** What the mover logs to; pino's loggers are such. */
export interface MoveLog {
  info(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

export interface ShardMigratorOptions {
  runtime: Runtime;
  client: StateClient;
  /** Holds the records of the part and of its moves. */
  world: PrefixCache;
  election: LeaderElection;
  /** This controller's name. */
  name: string;
  shard: number;
  limits: MoveLimits;
  /** From one look to the next if nothing happens. */
  pollIntervalMs: number;
  /** The owner here; null while nothing is owned. */
  leader: () => TransferableLeader | null;
  /** What keeps a controller from becoming the owner now; null if nothing does. */
  obstacle: (controller: string) => string | null;
  /** This controller is served and knows all jobs. */
  canLead: () => boolean;
  /** Reads what a new owner reads, to be done before the part is taken. */
  ahead: Pick<RecordsAhead, 'prepare' | 'forget'>;
  log: MoveLog;
}

/** Carries planned moves of a part out, on the side of the owner and on that of the target. */
export class ShardMigrator {
  /** The move's record as the watch has shown it last. */
  private move: SeenMove | null = null;
  private readonly source: TransferSource;
  private readonly target: TransferTarget;
  private readonly idle: WakeablePause;
  /** Something has happened since the last look. */
  private woken = false;

  /** To be made before the cache runs, which tells of each record once. */
  constructor(private readonly options: ShardMigratorOptions) {
    const { runtime, world, shard } = options;
    this.idle = new WakeablePause(runtime.clock);
    this.source = new TransferSource(options, () => this.wake());
    this.target = new TransferTarget(options);
    world.changes.subscribe(({ key, value, version }) => {
      if (key === moveKey(shard)) this.observeMove(value, version);
      if (key === moveKey(shard) || key === shardKey(shard)) this.wake();
    });
  }

  /** Carries moves out until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { log, pollIntervalMs } = this.options;
    while (!signal.aborted) {
      this.woken = false;
      let goesOn = false;
      try {
        const sourceGoesOn = await this.source.step(this.move, signal);
        const targetGoesOn = await this.target.step(this.move, signal);
        goesOn = sourceGoesOn || targetGoesOn || this.woken;
      } catch (err) {
        if (signal.aborted) return;
        log.error({ err: String(err) }, 'unexpected');
      }
      if (!goesOn) await this.idle.wait(pollIntervalMs, signal);
    }
  }

  private wake(): void {
    this.woken = true;
    this.idle.wake();
  }

  private observeMove(value: unknown, version: number): void {
    const { log, shard } = this.options;
    if (value === undefined) {
      this.move = null;
      return;
    }
    const record = decodeMove(value);
    this.move = { record, version };
    if (record === null) log.info({ part: shard, version }, 'unreadable move');
  }
}
