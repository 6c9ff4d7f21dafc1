// The bundle takes this in place of what pino uses for its transports only: threads, their streams and the loader
// of modules. A log here is written by the controller's only thread, and they took as long to load as pino itself.
module.exports = { isMainThread: true };
