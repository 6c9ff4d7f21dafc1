import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Job } from '#wire';
import { makeFleet, makeJob, registerMachine, STANDARD_TYPE } from '../../testing/samples.js';
import { ScaleOutRefusals } from './scale-out-requests.js';
import { BinPacking } from './bin-packing.js';
import { existingBins } from './bins.js';

const jobs = fc.array(
  fc.record({
    tasks: fc.integer({ min: 1, max: 60 }),
    cpus: fc.constantFrom(0.25, 1, 3),
    gpus: fc.constantFrom(0, 1, 2),
    memory: fc.constantFrom(0.5, 4, 16),
    spread: fc.boolean(),
    spot: fc.boolean(),
    zone: fc.option(fc.constantFrom('a', 'b'), { freq: 4 }),
  }),
  { minLength: 1, maxLength: 12 },
);
const machines = fc.array(fc.record({ zone: fc.constantFrom('a', 'b'), spot: fc.boolean() }), {
  maxLength: 5,
});
type Values<T> = T extends fc.Arbitrary<infer V> ? V : never;

/** Packs the jobs, up to `tasksAtOnce` tasks per call; returns the scale-out requests and the use of each bin. */
function packJobs(
  jobSpecs: Values<typeof jobs>,
  machineSpecs: Values<typeof machines>,
  tasksAtOnce: number,
): unknown {
  const fleet = makeFleet();
  machineSpecs.forEach((own, i) => registerMachine(fleet, `n-${i}`, own));
  const existing = existingBins(fleet, 1, 0);
  const types = new Map([[STANDARD_TYPE.name, STANDARD_TYPE]]);
  const packing = new BinPacking({ existing, types, refusals: new ScaleOutRefusals(), now: 0 });
  for (const own of jobSpecs) packJob(packing, makeJob(own), tasksAtOnce);
  const bins = [...packing.existing, ...packing.provisioned];
  const used = bins.map(({ zone, spot, used: { cpus, gpus, memory } }) => [
    zone,
    spot,
    cpus,
    gpus,
    memory,
  ]);
  return [packing.scaleOutRequests(), used];
}

function packJob(packing: BinPacking, job: Job, tasksAtOnce: number): void {
  const zones = new Map<string, number>();
  const request = packing.createRequest(job, job.id, zones);
  for (let left = job.tasks; left > 0;) {
    const packed = packing.place(request, Math.min(left, tasksAtOnce));
    if (!packed) return;
    left -= packed.tasks;
    zones.set(packed.bin.zone, (zones.get(packed.bin.zone) ?? 0) + packed.tasks);
  }
}

// Guards against provisioning that depends on whether tasks are packed many per call or one by one.
test('tasks packed many at a time use the same capacity as tasks packed one at a time', () => {
  fc.assert(
    fc.property(jobs, machines, (jobSpecs, machineSpecs) => {
      assert.deepEqual(
        packJobs(jobSpecs, machineSpecs, Infinity),
        packJobs(jobSpecs, machineSpecs, 1),
      );
    }),
    { numRuns: 300, seed: 1, includeErrorInReport: true },
  );
});
