#!/usr/bin/env node
/**
 * Starts the bundled program with the compiled code that the build keeps beside it. A controller that comes
 * back must answer before the worker leases expire, and on a small share of a core most of a start is loading
 * code. Without a usable cache the program starts as well, only later.
 *
 * This file is CommonJS, since Node's loader of ES modules alone took as long as a fifth of the bare Node.
 */
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { Script } from 'node:vm';
import type * as ProgramModule from './main.js' with { 'resolution-mode': 'import' };

/** What the bundled program exports. */
export type Program = typeof ProgramModule;

const PROGRAM_FILE = join(__dirname, '..', 'bin', 'sorreldale.cjs');
/** The compiled code that the build keeps. */
export const CACHE_FILE = join(__dirname, '..', 'bin', 'sorreldale.cache');

/** The program as a script, compiled again if there is no usable cache of its code. */
export function compileProgram(cachedData: Buffer | undefined): Script {
  // The bundle is pure ASCII, and text of one byte a character is read without decoding.
  const text = readFileSync(PROGRAM_FILE, 'latin1');
  const source = `(function (exports, require, module, __filename, __dirname) {${text}\n})`;
  return new Script(source, { filename: PROGRAM_FILE, cachedData });
}

/** Evaluates the program's modules; nothing is run yet. */
export function loadProgram(script: Script): Program {
  const module = { exports: {} };
  const evaluate = script.runInThisContext() as (...args: unknown[]) => void;
  // The bundle requires nothing but what is built into Node.
  evaluate(module.exports, require, module, PROGRAM_FILE, dirname(PROGRAM_FILE));
  return module.exports as Program;
}

function readCache(): Buffer | undefined {
  try {
    return readFileSync(CACHE_FILE);
  } catch {
    // Without the file the program is compiled, which only takes longer.
    return undefined;
  }
}

if (require.main === module) {
  loadProgram(compileProgram(readCache())).main(process.argv.slice(2));
}
