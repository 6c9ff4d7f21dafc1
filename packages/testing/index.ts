export * from './generators.js';
