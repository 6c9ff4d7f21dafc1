/** Stand-ins of the users of the service. */
export type { PlannedJob } from './planned-job.js';
export * from './users.js';
