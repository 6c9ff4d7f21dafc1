import { Ajv, ValidateFunction } from 'ajv';

// Our own schemas are checked by the tests; checking them again at each start would cost more
// processor time than all the rest of ajv.
const ajv = new Ajv({
  strict: false,
  allowUnionTypes: true,
  useDefaults: true,
  meta: false,
  validateSchema: false,
});

/** Compiles a JSON schema; its check fills in defaults and leaves the first error in `errors`. */
export function compileSchema<T>(schema: object): ValidateFunction<T> {
  return ajv.compile<T>(schema);
}
