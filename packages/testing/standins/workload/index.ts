export * from './job-class.js';
export * from './workload.js';
