/** Compiles the JSON schemas by which data from outside is checked. */
import { Ajv, type Options, type ValidateFunction } from 'ajv';

/**
 * How schemas are understood. Our own schemas are checked by the tests; checking them again at each start
 * would cost more processor time than all the rest of ajv.
 */
export const SCHEMA_OPTIONS: Options = {
  strict: false,
  allowUnionTypes: true,
  useDefaults: true,
  meta: false,
  validateSchema: false,
};

const ajv = new Ajv(SCHEMA_OPTIONS);

/** All schemas that this process has compiled, by name; the build makes code of them. */
export const namedSchemas = new Map<string, object>();

/**
 * Compiles a JSON schema; its check fills in defaults and leaves the first error in `errors`. The name
 * identifies the schema. In the bundled program the checks are code that the build has made of the
 * schemas (packages/bundle/schema-checks.ts), so that ajv is neither loaded nor compiles anything at a start.
 */
export function compileSchema<T>(name: string, schema: object): ValidateFunction<T> {
  namedSchemas.set(name, schema);
  return ajv.compile<T>(schema);
}
