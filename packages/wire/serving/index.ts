export * from './cloud.js';
export * from './message.js';
export * from './state.js';
export * from './worker.js';
