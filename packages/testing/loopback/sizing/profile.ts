/** Reads what Node writes with `--cpu-prof`. */
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { type Cause, causeOf, type StackFrame } from './causes.js';

/** A processor profile as V8 writes it; times in microseconds of the machine's steady clock. */
export interface CpuProfile {
  nodes: { id: number; callFrame: StackFrame; children?: number[] }[];
  startTime: number;
  /** Node that was running at each sample. */
  samples: number[];
  /** From one sample to the next, the first from the start. */
  timeDeltas: number[];
}

/** A span of the machine's steady clock, which all its processes share; microseconds. */
export interface TimeSpan {
  fromUs: number;
  untilUs: number;
}

/** Now on the clock that profiles count in; microseconds. */
export function profileClockUs(): number {
  return Number(process.hrtime.bigint() / 1000n);
}

/** The profile of the only process that wrote one to the directory. */
export function readProfile(directory: string): CpuProfile {
  const [file] = readdirSync(directory).filter((name) => name.endsWith('.cpuprofile'));
  return JSON.parse(readFileSync(path.join(directory, file), 'utf8')) as CpuProfile;
}

/** Part of the busy time within the span that each cause took; all together 1. */
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
