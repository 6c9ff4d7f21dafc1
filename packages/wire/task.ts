/** References to tasks and their names in the protocol. */

/** One attempt at a task of a job. */
export interface TaskRef {
  /** Id of the job. */
  job: string;
  /** Index of the task in its job, from 0. */
  index: number;
  attempt: number;
}

/** The name of a task in the protocol, such as `j-000412/3`. */
export function taskName(job: string, index: number): string {
  return `${job}/${index}`;
}
