import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_S, EventScript, type ScriptSteps } from './sample-script.js';
import { describeViolation } from './violation.js';

/** What is allowed: no rule may be found broken. */
const ALLOWED: [name: string, steps: ScriptSteps][] = [
  [
    'a job starts once all that it awaits is done, and is not said to wait in vain before',
    async (script) => {
      script.startTask('m-0');
      await script.submitAcceptedJob({ id: 'j-2', awaits: ['j-000001'] });
      script.checker.faultsEnded();
      await script.wait(95);
      script.completeTask(0);
      script.completeTask(1);
      script.startTask('m-1', 0, 1, 'j-2');
    },
  ],
  [
    'a job is aborted with one that it needs',
    async (script) => {
      script.startTask('m-0');
      await script.submitAcceptedJob({ id: 'j-2', awaits: ['j-000001'] });
      script.endTask('m-0');
      await script.cancelJob();
      await script.requestAndAnswer('poll', 200, 'pending', 'j-2');
      await script.requestAndAnswer('poll', 200, 'aborted', 'j-2');
    },
  ],
  [
    'a task starts again after it has left',
    (script) => {
      script.startTask('m-0');
      script.endTask('m-0');
      script.startTask('m-1', 0, 2);
    },
  ],
  [
    'a task ends in time after a cancellation',
    async (script) => {
      script.startTask('m-0');
      await script.cancelJob();
      await script.wait(CANCEL_S - 0.1);
      script.endTask('m-0');
      await script.wait(5);
    },
  ],
  [
    'answers that were under way may be older',
    async (script) => {
      script.startTask('m-0');
      const early = script.sendRequest('poll');
      script.completeTask(0);
      script.completeTask(1);
      await script.requestAndAnswer('poll', 200, 'done');
      script.answerRequest(early, 200, 'running');
      await script.requestAndAnswer('submit', 200, 'done');
      await script.requestAndAnswer('poll', 503);
    },
  ],
  [
    'a question before the acceptance gets 404, a bad job 400',
    async (script) => {
      script.startTask('m-0');
      script.submitJob({ id: 'j-2' });
      script.submitJob({ id: 'j-3' }, false);
      const early = script.sendRequest('poll', 'j-2');
      await script.requestAndAnswer('submit', 201, 'pending', 'j-2');
      script.answerRequest(early, 404);
      await script.requestAndAnswer('submit', 400, null, 'j-3');
      await script.requestAndAnswer('poll', 404, null, 'j-4');
    },
  ],
  [
    'a job waits while its team is at its limit or nothing has room',
    async (script) => {
      script.submitJob({ id: 'j-2', gpus: 2, tasks: 3 });
      for (const index of [0, 1, 2]) script.startTask('m-0', index, 1, 'j-2');
      script.checker.faultsEnded();
      await script.wait(200);
    },
  ],
  [
    'a silent job during faults, or one that is asked about in vain for a while',
    async (script) => {
      script.startTask('m-0');
      script.observe({ kind: 'unanswered', request: script.sendRequest('poll') });
      await script.wait(300);
      script.checker.faultsEnded();
      await script.wait(70);
      await script.requestAndAnswer('poll', 200, 'running');
      await script.wait(100);
    },
  ],
];

for (const [name, steps] of ALLOWED) {
  test(`no rule is broken: ${name}`, async () => {
    const script = new EventScript();
    await script.setUp();
    await steps(script);
    assert.deepEqual(script.brokenRules(), []);
  });
}

test('a violation says what, when and where', async () => {
  const script = new EventScript();
  await script.setUp();
  script.startTask('m-0');
  script.startTask('m-1', 0, 2);
  const [violation] = script.checker.finish();
  const line = describeViolation(violation);
  assert.match(line, /^\d+\.\d{3} s ran_twice: j-000001\/0 on m-1, m-0: attempt 2 starts while /);
});
