/** Compiles all JSON schemas of the program to code at build time, so that the program need not load ajv. */
import { Ajv } from 'ajv';
import standalone from 'ajv/dist/standalone/index.js';
import type { Plugin } from 'esbuild';
import path from 'node:path';
// These modules register their schemas when they are loaded.
import '#controller';
import '#shards';
import '#wire';
import { namedSchemas, SCHEMA_OPTIONS } from '../wire/schema.js';

const standaloneCode = standalone.default;

/** The source of a CommonJS module that exports the validator of each schema under the schema's name. */
export function schemaChecksCode(): string {
  const ajv = new Ajv({ ...SCHEMA_OPTIONS, code: { source: true } });
  for (const [name, schema] of namedSchemas) ajv.addSchema(schema, name);
  const exportNames: Record<string, string> = {};
  for (const name of namedSchemas.keys()) exportNames[name] = name;
  return standaloneCode(ajv, exportNames);
}

const NAMESPACE = 'compiled-schemas';
const COMPILE_SCHEMA = 'const checks = exports;\nexports.compileSchema = (name) => checks[name];';

/** The esbuild plugin that replaces the module `schema.js`, which compiles schemas, by the compiled validators. */
export const compiledSchemas: Plugin = {
  name: NAMESPACE,
  setup(build) {
    build.onResolve({ filter: /^\.\/schema\.js$/ }, ({ importer, resolveDir }) =>
      importer.includes(path.join('target', 'wire'))
        ? { path: resolveDir, namespace: NAMESPACE }
        : null,
    );
    build.onLoad({ filter: /.*/, namespace: NAMESPACE }, ({ path: resolveDir }) => ({
      contents: `${schemaChecksCode()}\n${COMPILE_SCHEMA}`,
      resolveDir,
    }));
  },
};
