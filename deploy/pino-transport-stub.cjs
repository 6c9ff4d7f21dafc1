// Replaces the modules that pino needs for its transports only: thread-stream, worker_threads and module. A controller
// writes its log from its only thread, and these modules took as long to load as pino itself.
module.exports = { isMainThread: true };
