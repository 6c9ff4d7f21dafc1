import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeJob, jobKey } from '#store';
import { UserClient } from '#wire';
import {
  makeJob,
  Cluster,
  formatAddress,
  serviceAddress,
  SMALL_CLUSTER,
  USERS_HOST,
} from '#testing';
import { checkReplicaClasses } from './settings/replica-classes.js';
import type { PlatformSettings } from './settings/platform-settings.js';
import { operatorSchema, withDefaults } from './settings/operator-settings.js';
import { compileSchema } from '#wire';

const { deployment } = SMALL_CLUSTER;
const OBJECTIVES = [{ kind: 'wait', class: 'model', within_s: 20, share: 0.9 }];
const SETTINGS = {
  ...SMALL_CLUSTER,
  deployment: { ...deployment, objectives: OBJECTIVES },
  operator: { replicaGroups: { model: { members: 3, sameZone: true } } },
};
const MODEL = makeJob({
  kind: 'service',
  class: 'model',
  rank: 1,
  tasks: 3,
  gpus: 4,
  cpus: 8,
  memory: 10,
  types: ['g8'],
});

test('submissions whose replicas can never be complete get 422 with the reason, and all others are accepted', async () => {
  const cluster = new Cluster(SETTINGS, 1);
  const runtime = cluster.serviceRuntime('users', 'users', USERS_HOST);
  await cluster.start();
  await cluster.world.runUntil(5);
  const client = new UserClient(formatAddress(serviceAddress(0)), 5000, runtime);
  const answers: Record<string, [number, string | undefined]> = {};
  const submitAll = async () => {
    const bodies = {
      whole: { id: 'j-1', tasks: 6 },
      divided: { id: 'j-2', tasks: 5 },
      apart: { id: 'j-3', spread: true },
      array: { id: 'j-4', kind: 'array' as const, tasks: 5, estimateS: 5 },
    };
    for (const [name, overrides] of Object.entries(bodies)) {
      const { status, job } = await client.submit({ ...MODEL, ...overrides });
      answers[name] = [status, job !== null && 'error' in job ? job.error : undefined];
    }
  };
  void submitAll();
  await cluster.world.runUntil(10);
  assert.deepEqual(answers.whole, [201, undefined]);
  assert.deepEqual(answers.divided, [
    422,
    'pieces: 5 tasks are no whole number of replicas of 3 members',
  ]);
  assert.equal(answers.apart[0], 422);
  assert.equal(answers.array[0], 201);
});

test('a job accepted before replica groups were enabled stays known, runs as before and is logged once', async () => {
  const cluster = new Cluster(SETTINGS, 1);
  const runtime = cluster.serviceRuntime('users', 'users', USERS_HOST);
  const job = { ...MODEL, id: 'j-1', tasks: 4 };
  cluster.storage.upload({ job, runS: [0, 0, 0, 0], failsAfterS: null });
  const value = encodeJob({ job, acceptedAtMs: 0, phase: 'accepted' });
  cluster.state.store.apply([{ put: jobKey(job.id), value }]);
  await cluster.start();
  await cluster.world.runUntil(60);
  const started = cluster.timeline.of('task-started').map(({ task }) => task.attempt);
  assert.equal(
    started.length,
    4,
    'all tasks run, although their number is not a multiple of the replica size',
  );
  assert.equal(new Set(started).size, 4, 'each task starts separately');
  const client = new UserClient(formatAddress(serviceAddress(0)), 5000, runtime);
  let status = 0;
  void client.submit(job).then((answer) => (status = answer.status));
  await cluster.world.runUntil(65);
  assert.equal(status, 200);
  const lines = cluster.controllers.flatMap(({ log }) =>
    log.entries('job predates its replica groups'),
  );
  assert.deepEqual(
    lines.map((line) => line.job),
    ['j-1'],
  );
});

test('invalid classes of replica groups are refused with field and reason', () => {
  const objectives = [...OBJECTIVES, { kind: 'finished', class: 'batch', within_s: 5 }];
  const platform = { deployment: { objectives } } as unknown as PlatformSettings;
  const members = { members: 2, sameZone: false };
  assert.equal(checkReplicaClasses(platform, { model: members }), null);
  assert.equal(checkReplicaClasses(platform, null), null);
  const typo = checkReplicaClasses(platform, { typo: members });
  assert.equal(typo?.field, 'replicaGroups.typo');
  assert.match(typo.reason, /^no objective/);
  const batch = checkReplicaClasses(platform, { batch: members });
  assert.equal(batch?.field, 'replicaGroups.batch');
  assert.match(batch.reason, /^is no class/);
  const valid = compileSchema<object>('replicaGroupsTest', operatorSchema);
  const isValid = (value: object) => valid({ replicaGroups: { model: value } });
  assert.ok(isValid({ members: 2 }) && isValid({ members: 'job', sameZone: true }));
  const bad = [
    {},
    { members: 1 },
    { members: 100_001 },
    { members: 'jobs' },
    { members: 2, zone: 'a' },
  ];
  for (const value of bad) assert.equal(isValid(value), false, JSON.stringify(value));
  const workers = { lease_s: 10, report_s: 2 };
  const withWorkers = { deployment: { workers } } as unknown as PlatformSettings;
  assert.equal(withDefaults({}, withWorkers).replicaGroups, null);
  const withGroups = withDefaults({ replicaGroups: { model: { members: 2 } } }, withWorkers);
  assert.deepEqual(withGroups.replicaGroups, { model: members });
});
