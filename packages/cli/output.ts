/** The streams that commands write to. */

/** The output of a command; tests replace it to read what the command writes. */
export interface Output {
  /** Results, for programs to read. */
  out: (text: string) => void;
  /** Errors, for people. */
  err: (text: string) => void;
}

/** Writes to standard output and standard error of this process. */
export const processOutput: Output = {
  out: (text) => void process.stdout.write(text),
  err: (text) => void process.stderr.write(text),
};
