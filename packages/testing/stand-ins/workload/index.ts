/** Generates the jobs of a run. */
export * from './job-class.js';
export type { Pipeline } from './pipeline.js';
export * from './workload.js';
