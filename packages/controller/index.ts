/** What other packages use of the controller: running one, its settings, and the judges that models run. */
export * from './cancellations.js';
export * from './controller.js';
export * from './entitlement.js';
export * from './log.js';
export * from './operator.js';
export * from './peer-status.js';
export * from './platform-settings.js';
export * from './settings.js';
export * from './standby.js';
export * from './time-bounds.js';
