/** Runs a controller in this process. */
import { ListenError, nodeRuntime } from '#wire';
import { Controller, type Log, makeLog } from '#controller';
import { ExitCode, LoggedError } from './command-error.js';
import { readSettings, type SettingsFiles } from './settings-files.js';

const MS_PER_S = 1000;

/** Runs a controller until SIGINT or SIGTERM; throws CommandError if the controller cannot run. */
export async function serve(files: SettingsFiles): Promise<void> {
  const settings = readSettings(files);
  const log = makeLog(nodeRuntime.clock, settings.host_name, process.env.LOG_LEVEL);
  const stop = new AbortController();
  for (const name of ['SIGINT', 'SIGTERM'] as const) {
    process.once(name, () => {
      stop.abort();
    });
  }
  logUncaughtErrors(log);
  log.info({ startedMs: Math.round(process.uptime() * MS_PER_S) }, 'controller starting');
  try {
    await new Controller(nodeRuntime, settings, log).run(stop.signal);
  } catch (err) {
    if (err instanceof ListenError) {
      log.error({ err: err.message }, 'controller cannot listen on its address, exiting');
      throw new LoggedError(ExitCode.cannotListen, err.message, { cause: err });
    }
    log.error({ err: describeError(err) }, 'controller failed, exiting');
    throw new LoggedError(ExitCode.unexpected, describeError(err), { cause: err });
  }
}

/** Logs errors that nothing has caught, so that an error in one request or loop does not end the process. */
function logUncaughtErrors(log: Log): void {
  process.on('uncaughtException', (err) => {
    log.error({ err: err.stack }, 'uncaught exception, the controller keeps running');
  });
  process.on('unhandledRejection', (err) => {
    log.error(
      { err: describeError(err) },
      'unhandled promise rejection, the controller keeps running',
    );
  });
}

function describeError(err: unknown): string {
  return err instanceof Error ? (err.stack ?? err.message) : String(err);
}
