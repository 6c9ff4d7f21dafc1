/**
 * The folders to which the strict rules of eslint.config.js apply: strict types, doc comments and the vocabulary of
 * eslint/vocabulary.js. Circular imports are forbidden in all folders (.dependency-cruiser.js).
 *
 * An entry is a folder below `packages`, such as `core` or `testing/models`, and includes its subfolders. Folders may
 * be added but not removed.
 */
import { existsSync } from 'node:fs';

export const READABLE = [
  'cli',
  'controller',
  'core',
  'dependencies',
  'peer',
  'replicas',
  'shards',
  'store',
  'wire',
  'testing/models',
  'testing/simulation',
  'testing/stand-ins',
];

// Without this check, the strict rules would silently stop applying to a folder that was renamed.
for (const folder of READABLE) {
  if (!existsSync(new URL(`../packages/${folder}/`, import.meta.url))) {
    throw new Error(`eslint/readable.js names packages/${folder}, which does not exist`);
  }
}
