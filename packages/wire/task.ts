/** How tasks are named. */

/** One attempt at a task of a job. */
export interface TaskRef {
  /** Id of the job. */
  job: string;
  /** Number of the task in its job, from 0. */
  index: number;
  attempt: number;
}

/** The protocol's name of a task: `j-000412/3`. */
export function taskName(job: string, index: number): string {
  return `${job}/${index}`;
}
