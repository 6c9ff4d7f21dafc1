/** Public interface of the package: running a controller, its settings, and the checks that model tests run. */
export * from './peers/cancellations.js';
export * from './controller.js';
export { openJobBytes } from './jobs/job-memory-estimate.js';
export { HEAP_GROWTH, jobMemoryLimits } from './jobs/job-memory-limits.js';
export * from './leadership/leader-lease-check.js';
export * from './observability/log.js';
export * from './settings/operator-settings.js';
export * from './peers/peer-status.js';
export * from './settings/platform-settings.js';
export * from './settings/settings.js';
export * from './settings/settings-error.js';
export * from './leadership/standby-renewal-check.js';
export * from './settings/time-bounds.js';
