export * from './rule-checker.js';
export { describeViolation, type Violation } from './violation.js';
