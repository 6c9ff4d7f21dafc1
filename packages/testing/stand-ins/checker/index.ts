/** Checks that the service keeps the rules of the protocol. */
export * from './rule-checker.js';
export { describeViolation, type Violation } from './violation.js';
