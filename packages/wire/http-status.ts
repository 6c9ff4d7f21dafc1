/** Named HTTP status codes. */

/** The HTTP status codes that the clients of this package distinguish. */
export const HttpStatus = {
  ok: 200,
  badRequest: 400,
  notFound: 404,
  conflict: 409,
  gone: 410,
  unavailable: 503,
} as const;
