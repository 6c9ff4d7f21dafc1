/**
 * Dependencies between jobs: a graph in memory that is derived from the jobs' records. It owns no durable state and
 * imports no other package.
 */
export * from './dependency-graph.js';
export * from './urgency.js';
