/**
 * Maps the subpath imports of package.json (such as `#core`) to their source files.
 *
 * package.json maps them to compiled files (`./target/core/index.js`), which do not exist in a fresh checkout.
 * dependency-cruiser reads this file as a webpack configuration.
 */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const root = new URL('../', import.meta.url);
const manifest = JSON.parse(readFileSync(new URL('package.json', root), 'utf8'));

/** The source file of a compiled file. */
function sourceOf(compiled) {
  const source = compiled.replace(/^\.\/target\//, './packages/').replace(/\.js$/, '.ts');
  return fileURLToPath(new URL(source, root));
}

// In webpack, an alias that ends with `$` matches only the whole name: `#wire$` does not match `#wire/serving`.
const alias = Object.fromEntries(
  Object.entries(manifest.imports).map(([name, compiled]) => [`${name}$`, sourceOf(compiled)]),
);

export default { resolve: { alias } };
