export type { CheckerSettings, TeamLimit } from './check.js';
export * from './rule-checker.js';
export { breaksRule, describeViolation, type Rule, type Violation } from './violation.js';
