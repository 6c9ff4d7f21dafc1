export * from './cbor.js';
export * from './cloud.js';
export * from './http.js';
export * from './job.js';
export * from './schema.js';
export * from './state.js';
export * from './user.js';
export * from './worker.js';
