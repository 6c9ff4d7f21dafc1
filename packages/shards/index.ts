/** Planned moves of a part from one controller to another (docs/shards.md). */
export * from './move-record.js';
export * from './move-requests.js';
export * from './move-source.js';
export * from './move-target.js';
export * from './shard-migrator.js';
export { RecordsAhead } from './record-copy.js';
