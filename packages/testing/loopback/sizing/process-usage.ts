/** Reads the processor time and memory of a process from /proc (Linux). */
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
/** Indices of user and system time among the fields after the process name in /proc/<pid>/stat. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
/** Resets the peak resident size (VmHWM) when it is written to /proc/<pid>/clear_refs. */
const RESET_PEAK_COMMAND = '5';

/** Resident memory of a process, in MB of 2^20 bytes. */
export interface ResidentMemory {
  nowMb: number;
  /** Peak since the start of the process, or since the last `resetPeak`. */
  peakMb: number;
}

/** Processor time that a process has used since its start, in seconds. */
export interface ProcessorTime {
  totalS: number;
  /** Time in user mode, without the kernel; counted in steps of 10 ms. */
  userS: number;
  /** Time of the main thread, which runs JavaScript; the others collect garbage and compile. */
  mainThreadS: number;
}

export function processorTime(pid: number): ProcessorTime {
  return { totalS: processorTimeS(pid), userS: userTimeS(pid), mainThreadS: threadTimeS(pid, pid) };
}

/** Processor time of all threads that have not exited, in seconds. */
export function processorTimeS(pid: number): number {
  const threads = readdirSync(`/proc/${pid}/task`);
  return threads.reduce((sum, thread) => sum + threadTimeS(pid, Number(thread)), 0);
}

/** Processor time of a thread in seconds; counted in steps of 10 ms if schedstat has no nanoseconds. */
function threadTimeS(pid: number, thread: number): number {
  const [nanoseconds] = readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ');
  if (nanoseconds !== '0') return Number(nanoseconds) / 1e9;
  const { userS, systemS } = readTicks(`/proc/${pid}/task/${thread}/stat`);
  return userS + systemS;
}

function userTimeS(pid: number): number {
  return readTicks(`/proc/${pid}/stat`).userS;
}

function readTicks(file: string): { userS: number; systemS: number } {
  const stat = readFileSync(file, 'utf8');
  // The process name may contain spaces and parentheses.
  const fields = stat.slice(stat.lastIndexOf(') ') + 2).split(' ');
  const seconds = (index: number) => Number(fields[index]) / TICKS_PER_SECOND;
  return { userS: seconds(USER_TIME_FIELD), systemS: seconds(SYSTEM_TIME_FIELD) };
}

export function residentMemory(pid: number): ResidentMemory {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return {
    nowMb: readKilobytes(status, 'VmRSS') / 1024,
    peakMb: readKilobytes(status, 'VmHWM') / 1024,
  };
}

/** Restarts the measurement of the peak resident memory. */
export function resetPeak(pid: number): void {
  writeFileSync(`/proc/${pid}/clear_refs`, RESET_PEAK_COMMAND);
}

/** Reads a field in kB from the text of /proc/<pid>/status; NaN if the field is missing. */
function readKilobytes(status: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(status)?.[1] ?? NaN);
}
