export * from './key-store.js';
export * from './state-service.js';
