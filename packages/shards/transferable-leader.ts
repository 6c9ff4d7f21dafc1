/** What a migration needs to know and control of the controller that it runs in. */
import type { Term } from '#store';

/** The leader of a shard as far as a transfer concerns it. */
export interface TransferableLeader {
  readonly term: Term;
  /** Its records are loaded, and it makes decisions. */
  readonly ready: boolean;
  /** Stops all decisions; resolves once none is on its way to the state service or the cloud. */
  pause(): Promise<void>;
  /** Makes decisions again. */
  resume(): void;
}

/** What a migration logs to; pino's loggers are such. */
export interface MigrationLog {
  info(fields: object, message: string): void;
  error(fields: object, message: string): void;
}
