/**
 * The server side of the APIs that the service calls: decodes requests and encodes answers. Only stand-ins for other
 * services, and development tools, import it.
 */
export * from './cloud.js';
export * from './message.js';
export * from './state.js';
export * from './worker.js';
