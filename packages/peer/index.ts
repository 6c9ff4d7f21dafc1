export * from './frames.js';
export * from './link.js';
