import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CANCEL_S, Script, type Play } from './sample-script.js';
import { describeViolation } from './violation.js';

/** What is allowed: no rule may be found broken. */
const ALLOWED: [name: string, play: Play][] = [
  [
    'a job starts once all that it awaits is done, and is not said to wait in vain before',
    async (s) => {
      s.start('m-0');
      await s.accepted({ id: 'j-2', awaits: ['j-000001'] });
      s.checker.faultsEnded();
      await s.wait(95);
      s.completed(0);
      s.completed(1);
      s.start('m-1', 0, 1, 'j-2');
    },
  ],
  [
    'a job is aborted with one that it needs',
    async (s) => {
      s.start('m-0');
      await s.accepted({ id: 'j-2', awaits: ['j-000001'] });
      s.leave('m-0');
      await s.cancelled();
      await s.told('poll', 200, 'pending', 'j-2');
      await s.told('poll', 200, 'aborted', 'j-2');
    },
  ],
  [
    'a task starts again after it has left',
    (s) => {
      s.start('m-0');
      s.leave('m-0');
      s.start('m-1', 0, 2);
    },
  ],
  [
    'a task ends in time after a cancellation',
    async (s) => {
      s.start('m-0');
      await s.cancelled();
      await s.wait(CANCEL_S - 0.1);
      s.leave('m-0');
      await s.wait(5);
    },
  ],
  [
    'answers that were under way may be older',
    async (s) => {
      s.start('m-0');
      const early = s.asked('poll');
      s.completed(0);
      s.completed(1);
      await s.told('poll', 200, 'done');
      s.answered(early, 200, 'running');
      await s.told('submit', 200, 'done');
      await s.told('poll', 503);
    },
  ],
  [
    'a question before the acceptance gets 404, a bad job 400',
    async (s) => {
      s.start('m-0');
      s.submitted({ id: 'j-2' });
      s.submitted({ id: 'j-3' }, false);
      const early = s.asked('poll', 'j-2');
      await s.told('submit', 201, 'pending', 'j-2');
      s.answered(early, 404);
      await s.told('submit', 400, null, 'j-3');
      await s.told('poll', 404, null, 'j-4');
    },
  ],
  [
    'a job waits while its team is at its limit or nothing has room',
    async (s) => {
      s.submitted({ id: 'j-2', gpus: 2, tasks: 3 });
      for (const index of [0, 1, 2]) s.start('m-0', index, 1, 'j-2');
      s.checker.faultsEnded();
      await s.wait(200);
    },
  ],
  [
    'a silent job during faults, or one that is asked about in vain for a while',
    async (s) => {
      s.start('m-0');
      s.say({ kind: 'unanswered', request: s.asked('poll') });
      await s.wait(300);
      s.checker.faultsEnded();
      await s.wait(70);
      await s.told('poll', 200, 'running');
      await s.wait(100);
    },
  ],
];

for (const [name, play] of ALLOWED) {
  test(`no rule is broken: ${name}`, async () => {
    const script = new Script();
    await script.begin();
    await play(script);
    assert.deepEqual(script.rules(), []);
  });
}

test('a violation says what, when and where', async () => {
  const script = new Script();
  await script.begin();
  script.start('m-0');
  script.start('m-1', 0, 2);
  const [violation] = script.checker.finish();
  const line = describeViolation(violation);
  assert.match(line, /^\d+\.\d{3} s ran_twice: j-000001\/0 on m-1, m-0: attempt 2 starts while /);
});
