/** How commands fail: exit codes and errors. */

/** Exit codes of the command line; README.md lists them for users. */
export const ExitCode = {
  done: 0,
  /** The service refused what was asked. */
  refused: 1,
  /** Settings, arguments or files that cannot be used. */
  badInput: 2,
  /** No usable answer came. */
  noAnswer: 3,
  /** A controller cannot have one of its addresses. */
  cannotListen: 4,
  unexpected: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Ends a command. Its message is one line for standard error that says what failed and where. */
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

/** Ends a controller that has already written the reason to its log. */
export class LoggedError extends CommandError {
  override readonly name = 'LoggedError';
}
