export * from './dependency-graph.js';
export * from './urgency.js';
