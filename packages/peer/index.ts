export * from './dialled-connections.js';
export * from './frames.js';
export * from './link.js';
