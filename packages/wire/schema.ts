/** Compiles the JSON schemas that validate data from other processes and from settings files. */
import { Ajv, type Options, type ValidateFunction } from 'ajv';

/**
 * Options of ajv for all schemas. The tests check that the schemas themselves are valid; checking this again at each
 * start would take more CPU time than the rest of ajv.
 */
export const SCHEMA_OPTIONS: Options = {
  strict: false,
  allowUnionTypes: true,
  useDefaults: true,
  meta: false,
  validateSchema: false,
};

const ajv = new Ajv(SCHEMA_OPTIONS);

/** All schemas that this process has compiled, by name; the build generates validation code from them. */
export const namedSchemas = new Map<string, object>();

/**
 * Compiles a JSON schema, which its name identifies, to a validation function. The function fills in defaults and
 * stores the first error in `errors`. In the bundled program the build generates the validation functions
 * (packages/bundle/schema-checks.ts), so that a start neither loads ajv nor compiles schemas.
 */
export function compileSchema<T>(name: string, schema: object): ValidateFunction<T> {
  namedSchemas.set(name, schema);
  return ajv.compile<T>(schema);
}
