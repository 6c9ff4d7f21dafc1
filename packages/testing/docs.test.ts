import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const PAGES = [
  'README.md',
  'CONTRIBUTING.md',
  ...readdirSync(path.join(ROOT, 'docs'))
    .filter((name) => name.endsWith('.md'))
    .map((name) => `docs/${name}`),
];
const PACKAGES = 'wire|dependencies|core|store|peer|shards|replicas|controller|cli|testing|bundle';

/** Tables with a column of module names, relative to a directory; names with a slash start with a package. */
const MODULE_TABLES = [
  { page: 'docs/architecture.md', heading: 'One controller', column: 1, in: 'packages/controller' },
  { page: 'docs/architecture.md', heading: 'The core', column: 0, in: 'packages/core' },
  {
    page: 'docs/simulation.md',
    heading: 'How it works',
    column: 0,
    in: 'packages/testing/simulation',
  },
  { page: 'docs/stand-ins.md', heading: 'Stand-ins', column: 0, in: 'packages/testing/stand-ins' },
];

function read(page: string): string {
  return readFileSync(path.join(ROOT, page), 'utf8');
}

/** Whether a file or directory exists, with or without `.ts`; a build output counts if its source exists. */
function exists(name: string): boolean {
  const source = name.replace(/^target\/(.*)\.(c?)js$/, 'packages/$1.$2ts');
  return [source, `${source}.ts`].some((file) => existsSync(path.join(ROOT, file)));
}

/** The text from a heading to the next heading. */
function section(text: string, heading: string): string {
  const [, after] = text.split(new RegExp(`^#+ ${heading}$`, 'm'));
  assert.ok(after !== undefined, `a heading ${heading}`);
  return after.split(/^#/m)[0];
}

/** The names in backticks in a column of the section's table, without the header and separator rows. */
function namesInColumn(text: string, column: number): string[] {
  const rows = text.split('\n').filter((line) => line.startsWith('|'));
  const cells = rows.slice(2).map((row) => row.split('|')[column + 1]);
  return cells.flatMap((cell) => [...cell.matchAll(/`([^`]+)`/g)].map(([, name]) => name));
}

test('files that the documentation names exist', () => {
  const patterns: [RegExp, string][] = [
    [/(?<![\w/.-])(?:packages|docs|deploy|examples)\/[\w./-]*\w/g, ''],
    [/(?<![\w/.-])target\/(?!bin\/)[\w./-]+\.c?js\b/g, ''],
    [new RegExp(`(?<![\\w/.#-])(?:${PACKAGES})/[\\w/-]+\\.ts\\b`, 'g'), 'packages/'],
    [new RegExp(`(?<=\`)(?:${PACKAGES})/[\\w./-]+(?=\`)`, 'g'), 'packages/'],
  ];
  let named = 0;
  const missing: string[] = [];
  for (const page of PAGES) {
    const text = read(page);
    for (const [pattern, directory] of patterns) {
      for (const [name] of text.matchAll(pattern)) {
        named++;
        if (!exists(directory + name)) missing.push(`${page}: ${name}`);
      }
    }
  }
  assert.ok(named > 50, 'names were found');
  assert.deepEqual(missing, []);
});

test('modules in the tables of the documentation exist', () => {
  const missing: string[] = [];
  for (const { page, heading, column, in: directory } of MODULE_TABLES) {
    const names = namesInColumn(section(read(page), heading), column);
    assert.ok(names.length > 5, `${page}: ${heading}`);
    for (const name of names) {
      const file = name.includes('/') ? `packages/${name}` : `${directory}/${name}`;
      if (!exists(file)) missing.push(`${page}: ${name}`);
    }
  }
  assert.deepEqual(missing, []);
});
