/** The record of a machine. Its stored form is the one that the code uses. */

/** A machine and its assignments, as the state service holds them. */
export interface MachineRecord {
  /** Address at which its worker takes commands. */
  addr: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  /** It is a spot instance. */
  spot: boolean;
  /** Job, task index and attempt of each assignment that may exist on it. */
  tasks: [job: string, task: number, attempt: number][];
}
