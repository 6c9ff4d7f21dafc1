// Stands in for the modules that pino loads for its transports only: thread-stream, worker_threads and module. The log
// is written by the controller's only thread, and these modules took as long to load as pino itself.
module.exports = { isMainThread: true };
