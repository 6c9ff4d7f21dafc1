/** Frames and connections between controllers. */
export * from './dialled-connections.js';
export * from './frame-codec.js';
export * from './frames.js';
export * from './peer-link.js';
