/** Interfaces through which a migration uses the controller that it runs in. */
import type { Term } from '#store';

/** State and controls of a shard's leader that a transfer uses. */
export interface TransferableLeader {
  readonly term: Term;
  /** The leader has loaded its records and makes decisions. */
  readonly ready: boolean;
  /** Stops all decisions; resolves once none is in flight to the state service or the cloud. */
  pause(): Promise<void>;
  /** Makes decisions again. */
  resume(): void;
}

/** The logger of a migration; pino's loggers have this interface. */
export interface MigrationLog {
  info(fields: object, message: string): void;
  error(fields: object, message: string): void;
}
