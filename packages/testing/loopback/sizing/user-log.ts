import type { WorldEvent } from '../../stand-ins/index.js';

const ACCEPTED = [200, 201];

/** How users fare with their submissions. */
export class UserLog {
  readonly accepted = new Set<string>();
  /** Answers that asked to come again later. */
  refusals = 0;

  observe(event: WorldEvent): void {
    if (event.kind !== 'answered' || event.request.kind !== 'submit') return;
    if (ACCEPTED.includes(event.status)) this.accepted.add(event.request.job);
    else this.refusals++;
  }
}
