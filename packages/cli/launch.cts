#!/usr/bin/env node
/**
 * Starts the bundled program with V8's code cache, which the build writes beside the program. A restarted
 * controller must answer before the worker leases expire, and on a small share of a core it spends most of its
 * start loading code. Without a usable cache the program also starts, but later.
 *
 * This file is CommonJS, because Node's loader of ES modules alone added a fifth to the start of an empty program.
 */
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { Script } from 'node:vm';
import type * as ProgramModule from './main.js' with { 'resolution-mode': 'import' };

/** Exports of the bundled program, whose entry point is `main.ts`. */
export type Program = typeof ProgramModule;

const PROGRAM_FILE = join(__dirname, '..', 'bin', 'sorreldale.cjs');
/** V8's code cache of the program, which the build writes. */
export const CACHE_FILE = join(__dirname, '..', 'bin', 'sorreldale.cache');

/** The program as a script, compiled from its source if there is no usable code cache. */
export function compileProgram(cachedData: Buffer | undefined): Script {
  // The bundle is pure ASCII, so latin1 gives the same text as utf8 without decoding.
  const text = readFileSync(PROGRAM_FILE, 'latin1');
  const source = `(function (exports, require, module, __filename, __dirname) {${text}\n})`;
  return new Script(source, { filename: PROGRAM_FILE, cachedData });
}

/** Evaluates the program's modules and returns its exports; `main` is not called yet. */
export function loadProgram(script: Script): Program {
  const module = { exports: {} };
  const evaluate = script.runInThisContext() as (...args: unknown[]) => void;
  // The bundle requires only modules that are built into Node.
  evaluate(module.exports, require, module, PROGRAM_FILE, dirname(PROGRAM_FILE));
  return module.exports as Program;
}

function readCache(): Buffer | undefined {
  try {
    return readFileSync(CACHE_FILE);
  } catch {
    // Without the file the program is compiled from its source, which takes longer.
    return undefined;
  }
}

if (require.main === module) {
  loadProgram(compileProgram(readCache())).main(process.argv.slice(2));
}
