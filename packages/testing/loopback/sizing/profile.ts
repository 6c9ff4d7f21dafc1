/** Reads CPU profiles that Node writes with `--cpu-prof`. */
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { type Cause, causeOf, type StackFrame } from './causes.js';

/** A CPU profile as V8 writes it; times are microseconds of the machine's monotonic clock. */
export interface CpuProfile {
  nodes: { id: number; callFrame: StackFrame; children?: number[] }[];
  startTime: number;
  /** Id of the node of the call tree that was running at each sample. */
  samples: number[];
  /** Time from the previous sample to each sample; for the first one, from `startTime`. */
  timeDeltas: number[];
}

/** A span of the machine's monotonic clock, which all processes share; microseconds. */
export interface TimeSpan {
  fromUs: number;
  untilUs: number;
}

/** The current time on the monotonic clock that profiles use, in microseconds. */
export function profileClockUs(): number {
  return Number(process.hrtime.bigint() / 1000n);
}

/** Reads the profile from a directory to which only one process wrote one. */
export function readProfile(directory: string): CpuProfile {
  const [file] = readdirSync(directory).filter((name) => name.endsWith('.cpuprofile'));
  return JSON.parse(readFileSync(path.join(directory, file), 'utf8')) as CpuProfile;
}

/** Share of each cause in the busy time within the span; the shares add up to 1. */
export function sharesByCause(profile: CpuProfile, span: TimeSpan): Map<Cause, number> {
  const causes = causesByNode(profile);
  const times = new Map<Cause, number>();
  let atUs = profile.startTime;
  let totalUs = 0;
  profile.samples.forEach((node, index) => {
    const tookUs = profile.timeDeltas[index];
    atUs += tookUs;
    const cause = causes.get(node) ?? null;
    if (cause === null || atUs < span.fromUs || atUs > span.untilUs) return;
    times.set(cause, (times.get(cause) ?? 0) + tookUs);
    totalUs += tookUs;
  });
  return new Map([...times].map(([cause, timeUs]) => [cause, timeUs / totalUs]));
}

function causesByNode({ nodes }: CpuProfile): Map<number, Cause | null> {
  const parents = new Map(
    nodes.flatMap(({ id, children = [] }) => children.map((child) => [child, id])),
  );
  const frames = new Map(nodes.map(({ id, callFrame }) => [id, callFrame]));
  const stackOf = (id: number): StackFrame[] => {
    const parent = parents.get(id);
    return [frames.get(id)!, ...(parent === undefined ? [] : stackOf(parent))];
  };
  return new Map(nodes.map(({ id }) => [id, causeOf(stackOf(id))]));
}
