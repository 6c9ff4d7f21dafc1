/** Errors in settings files. */

/** A field of a settings file whose value can't be used. */
export interface SettingsProblem {
  /** Path of the field in its file, like `deployment.workers.cancel_s`. */
  field: string;
  /** Why the value can't be used. */
  reason: string;
}

/** Stands for the field in problems that concern the file as a whole. */
export const WHOLE_FILE = 'the file';

/** A settings file that can't be used; the message names file, field and reason. */
export class SettingsError extends Error {
  override readonly name = 'BadSettings';

  constructor(
    readonly file: string,
    readonly problem: SettingsProblem,
    options?: ErrorOptions,
  ) {
    super(`${file}: ${problem.field}: ${problem.reason}`, options);
  }
}
