/** Replaces modules in the bundled program that libraries load but that this program does not need. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Plugin } from 'esbuild';

const DEPLOY = fileURLToPath(new URL('../../deploy/', import.meta.url));

/** A module that a library loads, and the stub that replaces it. */
interface Replacement {
  module: string;
  /** The library that loads the stub; all other importers load the module itself. */
  usedBy: string;
  /** File name of the stub in `deploy`. */
  stub: string;
}

const REPLACEMENTS: Replacement[] = [
  { module: 'body-parser', usedBy: 'express', stub: 'body-parser-stub.cjs' },
  { module: 'thread-stream', usedBy: 'pino', stub: 'pino-transport-stub.cjs' },
  { module: 'worker_threads', usedBy: 'pino', stub: 'pino-transport-stub.cjs' },
  { module: 'module', usedBy: 'pino', stub: 'pino-transport-stub.cjs' },
  { module: 'assert', usedBy: 'sonic-boom', stub: 'assert-stub.cjs' },
];

/** The replacement of a module for the file that imports it; undefined if there is none. */
function replacementFor(module: string, importer: string): Replacement | undefined {
  return REPLACEMENTS.find(
    (each) =>
      each.module === module && importer.includes(path.join('node_modules', each.usedBy, path.sep)),
  );
}

/** The esbuild plugin that makes the replacements. */
export const replacements: Plugin = {
  name: 'replacements',
  setup(build) {
    const names = REPLACEMENTS.map(({ module }) => module).join('|');
    build.onResolve({ filter: new RegExp(`^(${names})$`) }, ({ path: module, importer }) => {
      const replacement = replacementFor(module, importer);
      return replacement && { path: path.join(DEPLOY, replacement.stub) };
    });
  },
};
