/**
 * The serving side of the interfaces that production code is a client of: requests read, answers written. Only
 * stand-ins and tools import it.
 */
export * from './cloud.js';
export * from './message.js';
export * from './state.js';
export * from './worker.js';
