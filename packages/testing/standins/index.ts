export * from './cloud/index.js';
export * from './http-server.js';
export * from './latency.js';
export * from './lost-replies.js';
export * from './state/index.js';
