import path from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Plugin } from 'esbuild';

const DEPLOY = fileURLToPath(new URL('../../deploy/', import.meta.url));

/** A module that a library loads and this program does without. */
interface Replacement {
  module: string;
  /** The library that gets another module instead; all others get the true one. */
  usedBy: string;
  /** The other module, in `deploy`. */
  by: string;
}

const REPLACEMENTS: Replacement[] = [
  { module: 'body-parser', usedBy: 'express', by: 'no-body-parser.cjs' },
  { module: 'thread-stream', usedBy: 'pino', by: 'no-threads.cjs' },
  { module: 'worker_threads', usedBy: 'pino', by: 'no-threads.cjs' },
  { module: 'module', usedBy: 'pino', by: 'no-threads.cjs' },
  { module: 'assert', usedBy: 'sonic-boom', by: 'plain-assert.cjs' },
];

/** The replacement of a module for the file that imports it. */
function replacementFor(module: string, importer: string): Replacement | undefined {
  return REPLACEMENTS.find(
    (each) =>
      each.module === module && importer.includes(path.join('node_modules', each.usedBy, path.sep)),
  );
}

/** Leaves out of the bundle what libraries load but this program never calls. */
export const replacements: Plugin = {
  name: 'replacements',
  setup(build) {
    const names = REPLACEMENTS.map(({ module }) => module).join('|');
    build.onResolve({ filter: new RegExp(`^(${names})$`) }, ({ path: module, importer }) => {
      const replacement = replacementFor(module, importer);
      return replacement && { path: path.join(DEPLOY, replacement.by) };
    });
  },
};
