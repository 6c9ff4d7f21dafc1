import type { WorldEvent } from '../../stand-ins/index.js';

const ACCEPTED = [200, 201];

/** Records the answers to submissions of users. */
export class UserLog {
  readonly accepted = new Set<string>();
  /** Number of answers that did not accept the submission, such as requests to retry later. */
  refusals = 0;

  observe(event: WorldEvent): void {
    if (event.kind !== 'answered' || event.request.kind !== 'submit') return;
    if (ACCEPTED.includes(event.status)) this.accepted.add(event.request.job);
    else this.refusals++;
  }
}
