/**
 * Planned migrations of a shard from one controller to another (docs/shards.md). The package owns the records
 * `world/moves/<shard>` and `world/move-results/<shard>`; it imports `wire`, `core` and `store` only.
 */
export * from './migration-record.js';
export * from './migration-record-codec.js';
export * from './migration-requests.js';
export * from './migration-transaction.js';
export * from './record-prefetch.js';
export * from './shard-migrator.js';
export * from './source-state-machine.js';
export * from './target-state-machine.js';
export type { TransferableLeader } from './transferable-leader.js';
