import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoAnswer } from '#wire';
import { makeJob, postBytes, serveOnLoopback } from '#testing';
import { makeApp } from './http-server.js';
import { UserApi, type UserApiOptions } from './user-api.js';

test('the leader is told of a cancellation before it is recorded, even if the record is not written', async (t) => {
  // Guards against tasks that keep running after their job was cancelled. The controller that recorded the
  // cancellation ended before it told the leader, and an outage of the state service began.
  const events: string[] = [];
  const record = { job: makeJob(), acceptedAtMs: 0, phase: 'accepted', version: 3 };
  const options = {
    client: {
      limits: { valueBytes: 8192 },
      callInBackground: () => Promise.reject(new NoAnswer('cut')),
    },
    commits: {
      commit: () => {
        events.push('commit');
        return Promise.reject(new NoAnswer('cut'));
      },
    },
    admission: { retryAfterFailureS: () => 1 },
    jobs: { get: () => record, cache: { sync: () => Promise.resolve() } },
    onRequest: () => () => {},
    isNearConnectionLimit: () => false,
    onCancel: (id: string) => events.push(id),
  };
  const app = makeApp();
  new UserApi(options as unknown as UserApiOptions).mount(app);
  const { port, close } = await serveOnLoopback(app);
  t.after(close);
  const status = await postBytes(port, `/submissions/${record.job.id}/abort`, new Uint8Array());
  assert.equal(status, 503);
  assert.deepEqual(events.slice(0, 2), [record.job.id, 'commit']);
});
