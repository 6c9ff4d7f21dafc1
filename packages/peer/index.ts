export * from './buffers.js';
export * from './frames.js';
export * from './link.js';
