/** The load balancer that stands between users and controllers. */
export * from './load-balancer.js';
