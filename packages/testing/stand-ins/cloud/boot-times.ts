/** How long provisioned machines take to boot. */
import type { Runtime } from '#wire';
import { uniform, type Span } from '../distributions.js';

/** How long machines take from their provisioning until they are up. */
export interface BootProfile {
  /** Usual time as a multiple of the type's nominal one. */
  usual: Span;
  /** Share of machines that take several times as long. */
  slowShare: number;
  slow: Span;
  /** Share of machines that never come up. */
  neverShare: number;
  /** Seconds in place of all multiples, if set. */
  overrideS: Span | null;
}

/** Boot times around the nominal one; a few machines are slow and a few never come up. */
export const USUAL_BOOTS: BootProfile = {
  usual: [0.6, 1.5],
  slowShare: 0.03,
  slow: [2, 5],
  neverShare: 0.01,
  overrideS: null,
};

/** Machines are up within two seconds. */
export const QUICK_BOOTS: BootProfile = { ...USUAL_BOOTS, overrideS: [0.2, 2] };

/** Seconds until a machine is up, or null if it never will be. */
export function drawBootS(runtime: Runtime, profile: BootProfile, nominalS: number): number | null {
  const span = (range: Span) => uniform(() => runtime.random(), range);
  if (profile.overrideS !== null) return span(profile.overrideS);
  if (runtime.random() < profile.neverShare) return null;
  const slow = runtime.random() < profile.slowShare;
  return nominalS * span(slow ? profile.slow : profile.usual);
}
