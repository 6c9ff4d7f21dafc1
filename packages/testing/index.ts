export * from './generators.js';
export * from './ownership/world.js';
export * from './random.js';
export * from './recorder-world.js';
export * from './samples.js';
export * from './simulation/index.js';
export * from './state-world.js';
