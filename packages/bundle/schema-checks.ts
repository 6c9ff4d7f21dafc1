/** Compiles all schemas that the program uses to code at build time, so that ajv need not be loaded. */
import { Ajv } from 'ajv';
import standalone from 'ajv/dist/standalone/index.js';
import type { Plugin } from 'esbuild';
import path from 'node:path';
// Both compile their schemas when they are loaded.
import '#controller';
import '#shards';
import '#wire';
import { namedSchemas, SCHEMA_OPTIONS } from '../wire/schema.js';

const standaloneCode = standalone.default;

/** A CommonJS module that exports the check of each schema by the schema's name. */
export function schemaChecksCode(): string {
  const ajv = new Ajv({ ...SCHEMA_OPTIONS, code: { source: true } });
  for (const [name, schema] of namedSchemas) ajv.addSchema(schema, name);
  const exportNames: Record<string, string> = {};
  for (const name of namedSchemas.keys()) exportNames[name] = name;
  return standaloneCode(ajv, exportNames);
}

const NAMESPACE = 'compiled-schemas';
const COMPILE_SCHEMA = 'const checks = exports;\nexports.compileSchema = (name) => checks[name];';

/** The plugin of esbuild that puts the checks in the place of the module that compiles schemas. */
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
