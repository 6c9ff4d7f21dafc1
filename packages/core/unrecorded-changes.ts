/**
 * Names of what changed in memory and must still be made durable. Nothing is sent that depends on a
 * change before the recorder has written it (docs/safety.md, point 4).
 */
export class UnrecordedChanges {
  /** Names of machines whose assignments or fence changed, machines that are gone included. */
  readonly machines = new Set<string>();
  /** Ids of jobs with new done tasks. */
  readonly jobs = new Set<string>();

  /** Whether there is something to record. */
  get any(): boolean {
    return this.machines.size > 0 || this.jobs.size > 0;
  }
}
