export * from './controller.js';
export * from './entitlement.js';
export * from './log.js';
export * from './operator.js';
export * from './settings.js';
