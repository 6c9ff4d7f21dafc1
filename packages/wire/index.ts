/**
 * Everything that travels between the service and others: messages with their codecs, HTTP clients that speak CBOR,
 * and the runtime (time, randomness, network) that these use. The protocol's field names occur here only. The package
 * holds no state and imports no other package.
 */
export * from './cbor.js';
export * from './cbor-client.js';
export * from './cloud-client.js';
export * from './heartbeat.js';
export * from './job.js';
export * from './listener.js';
export * from './runtime.js';
export { compileSchema } from './schema.js';
export * from './state-api.js';
export * from './task.js';
export * from './user-client.js';
export * from './waits.js';
export * from './worker-orders.js';
