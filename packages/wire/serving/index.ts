export * from './message.js';
export * from './state.js';
