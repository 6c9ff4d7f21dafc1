/**
 * Where the subpath imports of package.json (`#core`) have their sources.
 *
 * package.json names compiled files (`./target/core/index.js`), which a checkout need not have yet.
 * dependency-cruiser reads this file in the format of a webpack configuration.
 */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const root = new URL('../', import.meta.url);
const manifest = JSON.parse(readFileSync(new URL('package.json', root), 'utf8'));

/** The source that a compiled file is made from. */
function sourceOf(compiled) {
  const source = compiled.replace(/^\.\/target\//, './packages/').replace(/\.js$/, '.ts');
  return fileURLToPath(new URL(source, root));
}

// The `$` of webpack's aliases: `#wire` doesn't stand for `#wire/serving`.
const alias = Object.fromEntries(
  Object.entries(manifest.imports).map(([name, compiled]) => [`${name}$`, sourceOf(compiled)]),
);

export default { resolve: { alias } };
