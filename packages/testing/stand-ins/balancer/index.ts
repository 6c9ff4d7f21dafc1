export * from './load-balancer.js';
