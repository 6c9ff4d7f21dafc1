export * from './generators.js';
export * from './ownership-model.js';
