/** Why an assignment ended. */
import type { Cause } from '#wire';

/** The cause that the worker names, or `lost` if the end is concluded (docs/safety.md, point 5). */
export type EndCause = Cause | 'lost';
