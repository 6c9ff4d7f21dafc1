import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_S, EventScript, type ScriptSteps } from './event-script.js';
import { describeViolation } from './violation.js';

/** Sequences of events that break no rule. */
const ALLOWED: [name: string, steps: ScriptSteps][] = [
  [
    'a job waits for its dependency despite free capacity and starts once the dependency is done',
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
    'a job is cancelled with its dependency',
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
    'a task starts on another machine after it has left the first',
    (script) => {
      script.startTask('m-0');
      script.endTask('m-0');
      script.startTask('m-1', 0, 2);
    },
  ],
  [
    'a task stops within the time limit after a cancellation',
    async (script) => {
      script.startTask('m-0');
      await script.cancelJob();
      await script.wait(CANCEL_S - 0.1);
      script.endTask('m-0');
      await script.wait(5);
    },
  ],
  [
    'a request that was sent before the final answer is answered with an older phase',
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
    'a poll from before the acceptance is answered with 404, and a job that cannot run with 400',
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
    'a job waits while its team is at its limit',
    async (script) => {
      script.submitJob({ id: 'j-2', gpus: 2, tasks: 3 });
      for (const index of [0, 1, 2]) script.startTask('m-0', index, 1, 'j-2');
      script.checker.faultsEnded();
      await script.wait(200);
    },
  ],
  [
    'a poll gets no answer during faults and until 70 s after them',
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

test('describeViolation states time, rule, task, machines and explanation', async () => {
  const script = new EventScript();
  await script.setUp();
  script.startTask('m-0');
  script.startTask('m-1', 0, 2);
  const [violation] = script.checker.finish();
  const line = describeViolation(violation);
  assert.match(line, /^\d+\.\d{3} s ran_twice: j-000001\/0 on m-1, m-0: attempt 2 starts while /);
});
