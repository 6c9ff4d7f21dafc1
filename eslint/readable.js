/**
 * The folders that are finished: they keep the strict rules of eslint.config.js and have no circles
 * of imports (.dependency-cruiser.js).
 *
 * An entry is a folder below `packages`, like `core` or `testing/moves`, and includes what is below
 * it. Folders are only added.
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

// A folder that was renamed must not lose its rules unnoticed.
for (const folder of READABLE) {
  if (!existsSync(new URL(`../packages/${folder}/`, import.meta.url))) {
    throw new Error(`eslint/readable.js names packages/${folder}, which does not exist`);
  }
}
