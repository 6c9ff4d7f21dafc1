/**
 * The protocol between the service and its users, its workers, the cloud and the state service: message types with
 * their codecs, HTTP clients that send CBOR, and the runtime (time, randomness, network) that the clients use. Only
 * this package contains the protocol's field names. It holds no state and imports no other package.
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
