/** One attempt at a task of a job. */
export interface TaskRef {
  job: string;
  index: number;
  attempt: number;
}

/** The protocol's name of a task: `j-000412/3`. */
export function taskName(job: string, index: number): string {
  return `${job}/${index}`;
}
