/** Stand-in of the load balancer between users and controllers. */
export * from './load-balancer.js';
