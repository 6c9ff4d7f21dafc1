/**
 * Measures the resources that controllers need at a given cluster size, for operators who choose machine sizes. Starts
 * real controllers as processes on the loopback, with stand-ins of the state service, the cloud, workers and users in
 * this process.
 */
import { appendFileSync } from 'node:fs';
import { CommanderError } from 'commander';
import { NotRunning } from '../loopback/sizing/controller-process.js';
import { measureAll } from '../loopback/sizing/measure-all.js';
import { BadArguments, readOptions, type SizingOptions } from '../loopback/sizing/options.js';
import { makeResult, type Result, resultContext } from '../loopback/sizing/result.js';
import { NotBuilt } from '../loopback/sizing/sources.js';
import { describeContext, formatTable } from '../loopback/sizing/table.js';
import { WaitTimeoutError } from '../loopback/sizing/wait.js';

const ExitCode = { done: 0, notMeasured: 1, badArguments: 2 } as const;
/** File name that stands for standard output. */
const STANDARD_OUTPUT = '-';

/** Prints each result as JSON as soon as it is measured, and a table of all results at the end. */
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

/** Measures and prints the results. Resolves with the exit code once everything is written. */
export async function run(args: string[]): Promise<number> {
  try {
    await measureAndPrint(readOptions(args));
    return ExitCode.done;
  } catch (err) {
    // Commander has already printed its message or the requested help.
    if (err instanceof CommanderError) return err.exitCode === 0 ? 0 : ExitCode.badArguments;
    const badArguments = err instanceof BadArguments || err instanceof NotBuilt;
    const isExpected = badArguments || err instanceof WaitTimeoutError || err instanceof NotRunning;
    process.stderr.write(`${isExpected ? err.message : String((err as Error).stack)}\n`);
    return badArguments ? ExitCode.badArguments : ExitCode.notMeasured;
  }
}
