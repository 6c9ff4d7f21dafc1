import { ListenError, nodeRuntime } from '#wire';
import { Controller, type Log, makeLog } from '#controller';
import { ExitCode, LoggedError } from './command-error.js';
import { readSettings, type SettingsFiles } from './settings-files.js';

/** Runs a controller until a signal ends it; throws CommandError if it cannot run. */
export async function serve(files: SettingsFiles): Promise<void> {
  const settings = readSettings(files);
  const log = makeLog(nodeRuntime.clock, settings.host_name, process.env.LOG_LEVEL);
  const stop = new AbortController();
  for (const name of ['SIGINT', 'SIGTERM'] as const) process.once(name, () => stop.abort());
  logUncaught(log);
  log.info({ startedMs: Math.round(process.uptime() * 1000) }, 'controller');
  try {
    await new Controller(nodeRuntime, settings, log).run(stop.signal);
  } catch (err) {
    if (err instanceof ListenError) {
      log.error({ err: err.message }, 'cannot listen');
      throw new LoggedError(ExitCode.cannotListen, err.message);
    }
    log.error({ err: describe(err) }, 'unexpected');
    throw new LoggedError(ExitCode.unexpected, describe(err));
  }
}

/** A fault in one request or duty is logged; the process goes on. */
function logUncaught(log: Log): void {
  process.on('uncaughtException', (err) => log.error({ err: err.stack }, 'unexpected'));
  process.on('unhandledRejection', (err) => log.error({ err: describe(err) }, 'unexpected'));
}

function describe(err: unknown): string {
  return err instanceof Error ? (err.stack ?? err.message) : String(err);
}
