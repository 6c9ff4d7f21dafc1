import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  chooseMachine,
  FleetState,
  isBestEffort,
  JobState,
  PlacementCandidates,
  Scheduler,
  tasksByZone,
  TeamQuota,
} from '../index.js';
import { FairShares } from '../fair-share/fair-shares.js';
import { aFleet, aJob, aMachine } from '../../testing/samples.js';

const NOW = 100;
const SETTINGS = {
  floorWeight: 0.05,
  preemptAfterS: Infinity,
  gangLeaseS: 120,
  stopThreshold: 0.5,
  decisionsPerRound: 30,
};
const TASKS_PER_TURN = 8;
const TEAMS = new Map<string, TeamQuota>([
  ['blue', { guaranteedCpus: 0, guaranteedGpus: 6, cpuLimit: 0, gpuLimit: 14 }],
  ['green', { guaranteedCpus: 12, guaranteedGpus: 0, cpuLimit: 0, gpuLimit: 0 }],
  ['red', { guaranteedCpus: 0, guaranteedGpus: 0, cpuLimit: 0, gpuLimit: 0 }],
]);

const jobs = fc.array(
  fc.record({
    team: fc.constantFrom(...TEAMS.keys()),
    rank: fc.integer({ min: 0, max: 3 }),
    tasks: fc.integer({ min: 1, max: 12 }),
    cpus: fc.constantFrom(0.5, 1, 1.5, 2, 3, 6),
    gpus: fc.constantFrom(0, 0, 1, 2),
    memory: fc.constantFrom(1, 2, 4, 20),
    image: fc.constantFrom('i1', 'i2'),
    zone: fc.option(fc.constantFrom('a', 'b'), { freq: 4 }),
    spread: fc.boolean(),
    spot: fc.boolean(),
    acceptedAt: fc.integer({ min: 0, max: 20 }),
    /** For each task that was started: the time of its assignment and the index of its machine. */
    runs: fc.array(fc.tuple(fc.integer({ min: 20, max: 90 }), fc.nat(5)), { maxLength: 3 }),
    /** Whether the tasks that were started have ended. */
    hasEnded: fc.boolean(),
    isBackingOff: fc.boolean(),
  }),
  { minLength: 5, maxLength: 60 },
);
const machines = fc.array(fc.record({ zone: fc.constantFrom('a', 'b'), spot: fc.boolean() }), {
  minLength: 1,
  maxLength: 6,
});
type Jobs = typeof jobs extends fc.Arbitrary<infer T> ? T : never;
type Machines = typeof machines extends fc.Arbitrary<infer T> ? T : never;

/** Makes a fleet with the jobs and machines; equal arguments give equal fleets. */
function createFleet(jobSpecs: Jobs, machineSpecs: Machines): FleetState {
  const fleet = aFleet({ isBestEffort: (job) => isBestEffort(job, TEAMS.get(job.team)) });
  const created = machineSpecs.map((own, i) => aMachine(fleet, `n-${i}`, own));
  jobSpecs.forEach(({ acceptedAt, runs, hasEnded, isBackingOff, ...own }, i) => {
    const state = fleet.addJob(aJob({ id: `j-${i}`, ...own }), acceptedAt, 'accepted', acceptedAt);
    if (isBackingOff) state.backoffUntil = NOW + 5;
    runs.slice(0, own.tasks).forEach(([assignedAt, machineIndex], index) => {
      const machine = created[machineIndex % created.length];
      const assignment = fleet.assignments.assign(
        state,
        index,
        machine,
        fleet.assignments.newAttempt(),
        assignedAt,
      );
      if (hasEnded) fleet.assignments.end(assignment, 'stopped', false, 95);
    });
  });
  return fleet;
}

/** Runs a round of placement by applying its rules to every waiting job. */
function placeByExhaustiveSearch(fleet: FleetState): void {
  const shares = new FairShares(fleet, TEAMS, SETTINGS.floorWeight);
  const candidates = new PlacementCandidates(fleet, NOW);
  const tierOf = (job: JobState) =>
    job.isBestEffort ? 8 : (shares.withinGuarantee(job.spec) ? 0 : 4) + job.spec.rank;
  const ranked = [...fleet.jobs.waiting]
    .filter((job) => job.backoffUntil <= NOW)
    .map((job) => {
      const { team } = job.spec;
      return {
        job,
        tier: tierOf(job),
        team,
        index: shares.fairShareIndex(team, NOW),
        service: job.service.read(NOW),
      };
    })
    .sort(
      (a, b) =>
        a.tier - b.tier ||
        a.index - b.index ||
        (a.team < b.team ? -1 : a.team > b.team ? 1 : 0) ||
        a.service - b.service ||
        a.job.acceptedAt - b.job.acceptedAt ||
        a.job.waitingOrder - b.job.waitingOrder,
    );
  let left = SETTINGS.decisionsPerRound;
  let isFirm = true;
  for (const { job } of ranked) {
    if (isFirm && job.isBestEffort) left = Math.min(left, SETTINGS.decisionsPerRound / 10);
    isFirm = !job.isBestEffort;
    for (let placed = -1; placed !== 0 && left > 0; left -= placed) placed = placeOneTurn(job);
  }

  function placeOneTurn(job: JobState): number {
    let placed = 0;
    for (const index of fleet.jobs.waitingTasks(job, TASKS_PER_TURN)) {
      if (!shares.withinLimit(job.spec.team, job.spec)) break;
      const machine = chooseMachine(fleet, job, tasksByZone(job), candidates, NOW);
      if (!machine) break;
      fleet.assignments.assign(job, index, machine, fleet.assignments.newAttempt(), NOW);
      placed++;
    }
    return placed;
  }
}

function listAssignments(fleet: FleetState): string[] {
  const assignments = [...fleet.machines.values()].flatMap(({ name, tasks }) =>
    [...tasks.keys()].map((task) => `${task} ${name}`),
  );
  return assignments.sort();
}

// Guards against changed decisions by the job order and the shortcuts of a round: a round skips most waiting
// jobs, and must decide the same as a search that visits every one of them.
test('a round makes the same assignments as an exhaustive search over all waiting jobs', () => {
  let placed = 0;
  fc.assert(
    fc.property(jobs, machines, (jobSpecs, machineSpecs) => {
      const fleet = createFleet(jobSpecs, machineSpecs);
      const reference = createFleet(jobSpecs, machineSpecs);
      const before = listAssignments(fleet).length;
      new Scheduler(fleet, TEAMS, SETTINGS).place(NOW);
      placeByExhaustiveSearch(reference);
      assert.deepEqual(listAssignments(fleet), listAssignments(reference));
      placed += listAssignments(fleet).length - before;
    }),
    { numRuns: 500, seed: 1, includeErrorInReport: true },
  );
  assert.ok(placed > 500);
});
