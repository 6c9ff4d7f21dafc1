/** The record of a machine, which is stored without a separate encoding. */

/** A machine and its assignments in the state service. */
export interface MachineRecord {
  /** Address at which its worker receives commands. */
  addr: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  /** Whether it is a spot instance. */
  spot: boolean;
  /** Job, task index and attempt of each assignment that may exist on it. */
  tasks: [job: string, task: number, attempt: number][];
}
