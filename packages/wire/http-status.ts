/** Names for statuses of HTTP. */

/** The statuses of HTTP that the clients of this package tell apart. */
export const HttpStatus = {
  ok: 200,
  badRequest: 400,
  notFound: 404,
  conflict: 409,
  gone: 410,
  unavailable: 503,
} as const;
