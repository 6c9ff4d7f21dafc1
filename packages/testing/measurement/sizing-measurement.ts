/**
 * Measures what controllers need at a given size, for operators who size their own machines. Starts real controllers as processes on the loopback, with
 * stand-ins for the state service, the cloud, workers and users in this process.
 */
import { appendFileSync } from 'node:fs';
import { CommanderError } from 'commander';
import { NotRunning } from '../loopback/sizing/controller-process.js';
import { measureAll } from '../loopback/sizing/measure-all.js';
import { BadArguments, readOptions, type SizingOptions } from '../loopback/sizing/options.js';
import { makeResult, type Result, resultContext } from '../loopback/sizing/result.js';
import { NotBuilt } from '../loopback/sizing/sources.js';
import { describeContext, formatTable } from '../loopback/sizing/table.js';
import { TooLate } from '../loopback/sizing/wait.js';

const ExitCode = { done: 0, notMeasured: 1, badArguments: 2 } as const;
/** In place of a file: standard output. */
const STANDARD_OUTPUT = '-';

/** Measures and prints each result as JSON as soon as it is there, and all of them as a table. */
async function measureAndPrint(options: SizingOptions): Promise<void> {
  const context = resultContext(options);
  const results: Result[] = [];
  await measureAll(options, {
    begins: (name) => process.stderr.write(`${name} ...\n`),
    measured: (measured) => {
      const result = makeResult(measured, context);
      results.push(result);
      writeJson(result, options.json);
    },
  });
  if (options.json === STANDARD_OUTPUT) return;
  process.stdout.write(describeContext(context, results) + formatTable(results));
}

function writeJson(result: Result, file: string | null): void {
  const line = `${JSON.stringify(result)}\n`;
  if (file === STANDARD_OUTPUT) process.stdout.write(line);
  else if (file !== null) appendFileSync(file, line);
}

/** Resolves with the exit code once all is written. */
export async function run(args: string[]): Promise<number> {
  try {
    await measureAndPrint(readOptions(args));
    return ExitCode.done;
  } catch (err) {
    // Commander has written its own message, or the help that was asked for.
    if (err instanceof CommanderError) return err.exitCode === 0 ? 0 : ExitCode.badArguments;
    const badArguments = err instanceof BadArguments || err instanceof NotBuilt;
    const isExpected = badArguments || err instanceof TooLate || err instanceof NotRunning;
    process.stderr.write(`${isExpected ? err.message : String((err as Error).stack)}\n`);
    return badArguments ? ExitCode.badArguments : ExitCode.notMeasured;
  }
}
