import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
/** Places of a process's own user and system time after its name in /proc/<pid>/stat. */
const USER_TIME = 11;
const SYSTEM_TIME = 12;

/** Processor time that a process has used since its start; seconds. */
export function processorTimeS(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.split(') ')[1].split(' ');
  return (Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME])) / TICKS_PER_SECOND;
}
