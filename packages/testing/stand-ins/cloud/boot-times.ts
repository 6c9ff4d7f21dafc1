/** How long provisioned machines take to boot. */
import type { Runtime } from '#wire';
import { uniform, type Span } from '../distributions.js';

/** Distribution of the time from provisioning a machine until it is up. */
export interface BootProfile {
  /** Usual boot time as a multiple of the machine type's nominal boot time. */
  usual: Span;
  /** Share of machines that boot slowly. */
  slowShare: number;
  /** Boot time of slow machines as a multiple of the nominal boot time. */
  slow: Span;
  /** Share of machines that never come up. */
  neverShare: number;
  /** If set, all machines boot within this range of seconds, and the other fields do not apply. */
  overrideS: Span | null;
}

/** Boot times around the nominal one. A few machines are slow and a few never come up. */
export const USUAL_BOOTS: BootProfile = {
  usual: [0.6, 1.5],
  slowShare: 0.03,
  slow: [2, 5],
  neverShare: 0.01,
  overrideS: null,
};

/** All machines come up within two seconds. */
export const QUICK_BOOTS: BootProfile = { ...USUAL_BOOTS, overrideS: [0.2, 2] };

/** Draws the seconds until a machine is up; null if it never comes up. */
export function drawBootS(runtime: Runtime, profile: BootProfile, nominalS: number): number | null {
  const span = (range: Span) => uniform(() => runtime.random(), range);
  if (profile.overrideS !== null) return span(profile.overrideS);
  if (runtime.random() < profile.neverShare) return null;
  const slow = runtime.random() < profile.slowShare;
  return nominalS * span(slow ? profile.slow : profile.usual);
}
