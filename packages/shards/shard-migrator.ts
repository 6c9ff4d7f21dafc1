/** The loop that carries out planned migrations of one shard in one controller. */
import { type Runtime, WakeableWait } from '#wire';
import { shardKey } from '#store';
import { migrationKey, type ObservedMigration } from './migration-record.js';
import { decodeMigration } from './migration-record-codec.js';
import { TransferSource, type TransferSourceOptions } from './transfer-source.js';
import { TransferTarget, type TransferTargetOptions } from './transfer-target.js';

/** Options for carrying out the migrations of a shard, on both sides of a transfer. */
export interface ShardMigratorOptions extends TransferSourceOptions, TransferTargetOptions {
  runtime: Runtime;
  /** Longest time from one step to the next. */
  pollIntervalMs: number;
}

/** Carries out planned migrations of a shard, as the source and as the target of a transfer. */
export class ShardMigrator {
  /** The migration record as last delivered by the watch; null if there is none. */
  private migration: ObservedMigration | null = null;
  private readonly source: TransferSource;
  private readonly target: TransferTarget;
  private readonly idle: WakeableWait;
  /** Whether wake() was called since the last step began. */
  private woken = false;

  /** Create the migrator before the cache runs: the cache announces each record only once. */
  constructor(private readonly options: ShardMigratorOptions) {
    const { runtime, world, shard } = options;
    this.idle = new WakeableWait(runtime.clock);
    this.source = new TransferSource(options, () => {
      this.wake();
    });
    this.target = new TransferTarget(options);
    world.changes.subscribe(({ key, value, version }) => {
      if (key === migrationKey(shard)) this.observeMigration(value, version);
      if (key === migrationKey(shard) || key === shardKey(shard)) this.wake();
    });
  }

  /** Carries out migrations until the signal aborts; never rejects. */
  async run(signal: AbortSignal): Promise<void> {
    const { pollIntervalMs } = this.options;
    while (!signal.aborted) {
      const hasMoreToDo = await this.tryStep(signal);
      if (!hasMoreToDo) await this.idle.wait(pollIntervalMs, signal);
    }
  }

  private async tryStep(signal: AbortSignal): Promise<boolean> {
    try {
      return await this.step(signal);
    } catch (err) {
      const { log, shard } = this.options;
      const message = 'shard migration step failed: it is tried again at the next poll';
      if (!signal.aborted) log.error({ shard, err: String(err) }, message);
      return false;
    }
  }

  /** Returns true if another step may be possible at once. */
  private async step(signal: AbortSignal): Promise<boolean> {
    this.woken = false;
    const sourceHasMore = await this.source.step(this.migration, signal);
    const targetHasMore = await this.target.step(this.migration, signal);
    return sourceHasMore || targetHasMore || this.woken;
  }

  private wake(): void {
    this.woken = true;
    this.idle.wake();
  }

  private observeMigration(value: unknown, version: number): void {
    const { log, shard } = this.options;
    if (value === undefined) {
      this.migration = null;
      return;
    }
    const record = decodeMigration(value);
    this.migration = { record, version };
    if (record === null) {
      log.info({ shard, version }, 'shard migration record unreadable: it can only be withdrawn');
    }
  }
}
