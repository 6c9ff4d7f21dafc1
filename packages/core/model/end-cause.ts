/** Why an assignment ended. */
import type { ExitCause } from '#wire';

/** The cause that the worker reports, or `lost` if the leader concludes that the task is gone (docs/safety.md, point 5). */
export type EndCause = ExitCause | 'lost';
