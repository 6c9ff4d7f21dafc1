import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MalformedBody, parseJob, type Job, type Phase } from '#wire';
import type { WireReply } from '#wire/serving';
import type { UserEvent } from '../events.js';
import { serveCbor, type ServedRequest } from '../http-server.js';
import { JobStorage } from '../job-storage.js';
import { SampleWorld } from '../sample-world.js';
import { WorldState } from '../world-state.js';
import { makeJob } from '../../samples.js';
import type { PlannedJob } from './planned-job.js';
import { Users } from './users.js';

const NODES = ['10.0.0.1:80', '10.0.0.2:80'];

function makePlan(overrides: Partial<Job> = {}, plan: Partial<PlannedJob> = {}): PlannedJob {
  const program = { job: makeJob(overrides), runS: [100], failsAfterS: null };
  return { program, submitAtS: 0, cancelAfterS: null, repeatAfterS: null, ...plan };
}

/** Starts users and two nodes that answer with `reply`; the first node also stands in for the balancer. */
async function startUsers(reply: (request: ServedRequest) => WireReply | null) {
  const world = new SampleWorld();
  const requests: { node: number; atS: number; path: string; method: string; body: unknown }[] = [];
  for (const node of NODES.keys()) {
    const address = { host: `10.0.0.${node + 1}`, port: 80 };
    const runtime = world.createRuntime(address.host, 'controller');
    const server = serveCbor(runtime, address, (request) => {
      const { path, method, body } = request;
      requests.push({ node, atS: world.world.now, path, method, body });
      return reply(request) ?? new Promise(() => {});
    });
    await world.runUntilComplete(server);
  }
  const storage = new JobStorage(world.observer);
  const users = new Users({
    runtime: world.createRuntime('10.7.0.1', 'users'),
    balancer: NODES[0],
    nodes: NODES.map((address, index) => ({ name: `c-${index}`, address })),
    storage,
    observer: world.observer,
  });
  const eventsOfKind = (kind: UserEvent['kind']) =>
    world.events.filter((event) => event.kind === kind);
  const requestTimes = (path: string) =>
    requests.filter((request) => request.path === path).map(({ atS }) => atS);
  return { world, users, storage, requests, eventsOfKind, requestTimes };
}

function jobReply(status: number, phase: Phase): WireReply {
  return { status, body: { id: 'j-000001', phase } };
}

test('a submission is repeated until it is accepted, and polls follow until the job has ended', async () => {
  const replies: (WireReply | null)[] = [{ status: 503 }, null, jobReply(201, 'pending')];
  let phase: Phase = 'running';
  const { world, users, requests, requestTimes } = await startUsers(({ path }) =>
    path === '/submissions' ? replies.shift()! : jobReply(200, phase),
  );
  users.submit(makePlan());
  await world.run(30);
  const [first, second, third] = requestTimes('/submissions');
  assert.ok(second - first >= 1 && second - first < 1.1);
  assert.ok(third - second >= 6 && third - second < 6.1);
  const polls = requestTimes('/submissions/j-000001');
  assert.equal(polls.length, 4);
  assert.ok(polls.every((atS, i) => i === 0 || (atS - polls[i - 1] > 4 && atS - polls[i - 1] < 6)));
  phase = 'done';
  await world.run(70);
  assert.ok(requests.length <= 3 + 6);
});

test('a submission is not repeated after a refusal, and is given up after a minute without acceptance', async () => {
  const { world, users, requestTimes } = await startUsers(() => ({ status: 422 }));
  users.submit(makePlan());
  await world.run(80);
  assert.equal(requestTimes('/submissions').length, 1);
  const slow = await startUsers(() => ({ status: 500 }));
  slow.users.submit(makePlan());
  await slow.world.run(80);
  const count = slow.requestTimes('/submissions').length;
  assert.ok(count >= 55 && count <= 61, `${count}`);
});

test('a cancellation is repeated until it is confirmed, and ends the polls', async () => {
  const replies: WireReply[] = [{ status: 503 }, { status: 404 }, jobReply(200, 'aborted')];
  const { world, users, requestTimes, eventsOfKind } = await startUsers(({ path }) => {
    if (path.endsWith('/abort')) return replies.shift()!;
    return jobReply(200, 'running');
  });
  users.submit(makePlan({}, { cancelAfterS: 7, repeatAfterS: 20 }));
  await world.run(12);
  assert.equal(requestTimes('/submissions/j-000001/abort').length, 3);
  assert.equal(eventsOfKind('cancel-asked').length, 1);
  const polls = requestTimes('/submissions/j-000001').length;
  // Five seconds after the end of the job the user may poll it once more.
  await world.run(2.5);
  assert.equal(requestTimes('/submissions/j-000001').length, polls);
  await world.run(10);
  assert.equal(requestTimes('/submissions').length, 2);
});

test('the observer is told of a request that gets no answer within the timeout', async () => {
  const { world, users, eventsOfKind } = await startUsers(() => null);
  users.submit(makePlan());
  await world.run(4.9);
  assert.deepEqual([eventsOfKind('asked').length, eventsOfKind('unanswered').length], [1, 0]);
  await world.run(0.2);
  assert.equal(eventsOfKind('unanswered').length, 1);
});

test('a burst of polls reaches all nodes within milliseconds after a job is accepted, ended or cancelled', async () => {
  const { world, users, storage, requests } = await startUsers(() => jobReply(200, 'running'));
  users.setPollBursts(true);
  users.submit(makePlan());
  await world.run(1);
  const countRequests = (node: number, method: string) =>
    requests.filter((r) => r.node === node && r.method === method && r.atS < 0.4).length;
  assert.ok(countRequests(0, 'GET') >= 7 && countRequests(1, 'GET') === 7);
  assert.ok(countRequests(0, 'POST') >= 2 && countRequests(1, 'POST') === 1);
  const before = requests.length;
  storage.complete('j-000001', 0);
  await world.run(0.4);
  assert.ok(requests.length - before >= 16);
});

test('a share of jobs is cancelled at completion, and a number of running jobs at once', async () => {
  const { world, users, storage, eventsOfKind } = await startUsers(() => jobReply(200, 'running'));
  const state = new WorldState();
  for (let i = 1; i <= 5; i++) users.submit(makePlan({ id: `j-00000${i}`, tasks: 1 }));
  await world.run(1);
  users.setCancelAtEndShare(1);
  storage.complete('j-000001', 0);
  assert.equal(eventsOfKind('cancel-asked').length, 1);
  const type = { ...makeJob(), name: 'm', cpus: 9 } as never;
  state.apply({
    kind: 'machine-up',
    machine: { name: 'm', healthy: true, type, address: '', zone: 'a', spot: false },
  });
  for (const id of ['j-000002', 'j-000003', 'j-000004']) {
    const task = { job: id, index: 0, attempt: 1 };
    state.apply({ kind: 'task-started', machine: 'm', task });
  }
  assert.deepEqual(users.cancelRunningJobs(2, state), ['m', 'm']);
  await world.run(0.21);
  assert.equal(eventsOfKind('cancel-asked').length, 3);
});

test('odd requests cover all kinds; jobs that lack a field or can run nowhere are reported as not runnable', async () => {
  let phase: Phase = 'running';
  const { world, users, requests, eventsOfKind } = await startUsers(() => jobReply(200, phase));
  users.submit(makePlan({ gpus: 0 }));
  users.submit(makePlan({ id: 'j-000002' }, { cancelAfterS: 2 }));
  users.setOddRequests(true);
  users.start([]);
  await world.run(5);
  phase = 'aborted';
  await world.run(100);
  const notRunnable = eventsOfKind('job-submitted').filter(
    (e) => e.kind === 'job-submitted' && !e.runnable,
  );
  const bodies = requests.flatMap((request) => {
    const id = (request.body as { id?: string } | null)?.id;
    return notRunnable.some((e) => e.kind === 'job-submitted' && e.id === id) ? [request.body] : [];
  });
  assert.ok(bodies.length > 10 && bodies.length === notRunnable.length);
  const malformed = bodies.filter((body) => {
    try {
      parseJob(body);
      return false;
    } catch (err) {
      return err instanceof MalformedBody;
    }
  });
  assert.ok(malformed.length > 3 && malformed.length < bodies.length - 3);
  const cancellations = requests.filter(({ path }) => path.endsWith('/abort'));
  assert.ok(cancellations.length > 3);
});
