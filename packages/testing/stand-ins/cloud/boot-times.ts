import type { Runtime } from '#wire';

/** How long machines take from their rental until they are up. */
export interface BootProfile {
  /** Usual time as a multiple of the type's nominal one. */
  usual: [least: number, most: number];
  /** Share of machines that take several times as long. */
  slowShare: number;
  slow: [least: number, most: number];
  /** Share of machines that never come up. */
  neverShare: number;
  /** Seconds in place of all multiples, if set. */
  quickS: [least: number, most: number] | null;
}

export const USUAL_BOOTS: BootProfile = {
  usual: [0.6, 1.5],
  slowShare: 0.03,
  slow: [2, 5],
  neverShare: 0.01,
  quickS: null,
};

/** Machines are up within two seconds. */
export const QUICK_BOOTS: BootProfile = { ...USUAL_BOOTS, quickS: [0.2, 2] };

/** Seconds until a machine is up, or null if it never will be. */
export function drawBootS(runtime: Runtime, profile: BootProfile, nominalS: number): number | null {
  const span = ([least, most]: [number, number]) => least + (most - least) * runtime.random();
  if (profile.quickS !== null) return span(profile.quickS);
  if (runtime.random() < profile.neverShare) return null;
  const slow = runtime.random() < profile.slowShare;
  return nominalS * span(slow ? profile.slow : profile.usual);
}
