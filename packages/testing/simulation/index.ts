export * from './clock.js';
export * from './connection.js';
export * from './link-rules.js';
export * from './network.js';
export * from './process.js';
export * from './socket.js';
export * from './world.js';
