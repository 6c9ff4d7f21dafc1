/**
 * Access to the state service, a consensus-backed key-value store: a rate-limited client, caches that
 * a watch keeps up to date, group commit, leader election, and the keys and codecs of the stored
 * records.
 */
export * from './budget.js';
export * from './codecs/job-codec.js';
export * from './codecs/leader-codec.js';
export * from './codecs/machine-record.js';
export * from './fair-queue.js';
export * from './group-commit.js';
export * from './hedged-request.js';
export * from './leader-election.js';
export { listAll, listPages as pages } from './pages.js';
export * from './prefix-cache.js';
export * from './progress-layout.js';
export * from './record-keys.js';
export * from './state-client.js';
export * from './state-limits.js';
