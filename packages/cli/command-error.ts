/** Exit codes and errors of commands. */

/** Exit codes of the command line; README.md lists them for users. */
export const ExitCode = {
  done: 0,
  /** The service refused the request. */
  refused: 1,
  /** Settings, arguments or files that cannot be used. */
  badInput: 2,
  /** No usable answer arrived. */
  noAnswer: 3,
  /** A controller cannot listen on one of its addresses. */
  cannotListen: 4,
  unexpected: 5,
} as const;

/** An exit code of the command line. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Makes the command fail with an exit code. The message is one line for standard error: what failed, and where. */
export class CommandError extends Error {
  override readonly name: string = 'CommandError';

  constructor(
    readonly exitCode: ExitCode,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Makes a controller fail that has already written the reason to its log; nothing more is printed. */
export class LoggedError extends CommandError {
  override readonly name = 'LoggedError';
}
