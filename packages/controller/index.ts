export * from './api.js';
export * from './cloud.js';
export * from './controller.js';
export * from './direct.js';
export * from './entitlement.js';
export * from './log.js';
export * from './operator.js';
export type { PartOwner } from './owner.js';
export * from './settings.js';
