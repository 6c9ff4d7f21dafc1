/** The streams that commands write to. */

/** Where a command writes, so that tests can read it. */
export interface Output {
  /** Results, for programs to read. */
  out: (text: string) => void;
  /** Errors, for people. */
  err: (text: string) => void;
}

/** This process's own streams. */
export const processOutput: Output = {
  out: (text) => void process.stdout.write(text),
  err: (text) => void process.stderr.write(text),
};
