import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job } from '#wire';
import { CANCEL_S, Script, type Play } from './sample-script.js';

/** One mistake each, and the rules that it breaks. */
const MISTAKES: [rules: string, name: string, own: Partial<Job>, play: Play][] = [
  [
    'ran_twice',
    'a task starts while it is elsewhere',
    {},
    (s) => {
      s.start('m-0');
      s.start('m-1', 0, 2);
    },
  ],
  [
    'quota',
    'a team uses more than its limit',
    { gpus: 4 },
    (s) => {
      s.start('m-0', 0);
      s.start('m-1', 1);
    },
  ],
  ['wrong_place', 'the type is not allowed', { types: ['big'] }, (s) => s.start('m-0')],
  ['wrong_place', 'the zone is not allowed', { zone: 'b' }, (s) => s.start('m-0')],
  ['wrong_place', 'no spot machine is allowed', {}, (s) => s.start('m-spot')],
  [
    'wrong_place',
    'a job of one zone starts in two',
    { oneZone: true },
    (s) => {
      s.start('m-0', 0);
      s.start('m-2', 1);
    },
  ],
  [
    'wrong_place',
    'more than half of a spread job is in one zone',
    { spread: true },
    (s) => {
      s.start('m-0', 0);
      s.start('m-1', 1);
    },
  ],
  [
    'ran_cancelled',
    'a task is there long after the confirmation',
    {},
    async (s) => {
      s.start('m-0');
      await s.cancelled();
      await s.wait(CANCEL_S + 0.1);
    },
  ],
  [
    'ran_cancelled',
    'a task starts long after the confirmation',
    {},
    async (s) => {
      await s.cancelled();
      await s.wait(CANCEL_S + 0.1);
      s.start('m-0');
    },
  ],
  [
    'started_after_cancel',
    'a task starts soon after the confirmation',
    {},
    async (s) => {
      await s.cancelled();
      s.start('m-0');
      s.leave('m-0');
    },
  ],
  [
    'forgotten',
    'an accepted job is unknown',
    {},
    async (s) => {
      s.start('m-0');
      await s.told('poll', 404);
    },
  ],
  [
    'forgotten',
    'a repeated submission is refused',
    {},
    async (s) => {
      s.start('m-0');
      await s.told('submit', 422);
    },
  ],
  [
    'forgotten',
    'nobody answers about a job once all faults have ended',
    {},
    async (s) => {
      s.start('m-0');
      s.checker.faultsEnded();
      s.say({ kind: 'unanswered', request: s.asked('poll') });
      await s.wait(77);
    },
  ],
  [
    'forgotten',
    'nobody answers about a job while others are answered',
    {},
    async (s) => {
      s.start('m-0');
      s.submitted({ id: 'j-2' });
      for (let i = 0; i < 20; i++) {
        if (i % 2 === 0) s.answered(s.asked('poll'), 503);
        await s.told('poll', 200, 'running', 'j-2');
        await s.wait(5);
      }
    },
  ],
  [
    'invented',
    'a job that nobody submitted is known',
    {},
    async (s) => {
      s.start('m-0');
      await s.told('poll', 200, 'pending', 'j-9');
    },
  ],
  [
    'not_done',
    'a job is called done too early',
    {},
    async (s) => {
      s.start('m-0');
      s.completed(0);
      await s.told('poll', 200, 'done');
    },
  ],
  [
    'went_back',
    'a job that was done runs',
    {},
    async (s) => {
      s.start('m-0');
      s.completed(0);
      s.completed(1);
      await s.told('poll', 200, 'done');
      await s.told('submit', 200, 'running');
    },
  ],
  [
    'went_back',
    'a job is called cancelled and done',
    {},
    async (s) => {
      s.start('m-0');
      const early = s.asked('poll');
      s.leave('m-0');
      await s.cancelled();
      s.completed(0);
      s.completed(1);
      s.answered(early, 200, 'done');
    },
  ],
  [
    'went_back',
    'a job is called cancelled that nobody cancelled',
    {},
    async (s) => {
      s.start('m-0');
      s.leave('m-0');
      await s.told('poll', 200, 'aborted');
    },
  ],
  [
    'refused_fit',
    'a job is refused for good though all that it awaits was accepted',
    {},
    async (s) => {
      s.start('m-0');
      s.submitted({ id: 'j-2', awaits: ['j-000001'] });
      await s.told('submit', 422, null, 'j-2');
    },
  ],
  [
    'too_early',
    'a task starts before a job that it awaits is done',
    {},
    async (s) => {
      s.completed(0);
      await s.accepted({ id: 'j-2', awaits: ['j-000001'] });
      s.start('m-0', 0, 1, 'j-2');
    },
  ],
  [
    'too_early',
    'a task starts before a job is done that it needs through another',
    {},
    async (s) => {
      await s.accepted({ id: 'j-2', awaits: ['j-000001'] });
      await s.accepted({ id: 'j-3', awaits: ['j-2'] });
      for (const index of [0, 1]) s.completed(index, 'j-2');
      s.start('m-0', 0, 1, 'j-3');
    },
  ],
  [
    'orphaned',
    'a job is called pending long after one that it needs is cancelled',
    {},
    async (s) => {
      s.start('m-0');
      s.leave('m-0');
      await s.accepted({ id: 'j-2', awaits: ['j-000001'] });
      await s.accepted({ id: 'j-3', awaits: ['j-2'] });
      await s.cancelled();
      await s.told('poll', 200, 'pending', 'j-3');
      await s.wait(CANCEL_S + 0.1);
      await s.told('poll', 200, 'pending', 'j-3');
    },
  ],
  [
    'went_back',
    'a job is called pending after it was called aborted with one that it needs',
    {},
    async (s) => {
      s.start('m-0');
      s.leave('m-0');
      await s.accepted({ id: 'j-2', awaits: ['j-000001'] });
      await s.cancelled();
      await s.told('poll', 200, 'aborted', 'j-2');
      await s.told('poll', 200, 'pending', 'j-2');
    },
  ],
  ['nothing_ran', 'no task starts', {}, async () => {}],
  [
    'unserved',
    'a job waits while there is capacity',
    {},
    async (s) => {
      s.start('m-0');
      s.leave('m-0');
      s.checker.faultsEnded();
      await s.wait(93);
    },
  ],
  [
    'unserved',
    'a gang of one zone waits while a zone has room for it',
    { kind: 'gang', oneZone: true, tasks: 2, gpus: 3 },
    async (s) => {
      s.start('m-2', 0, 1);
      s.leave('m-2', 0, 1);
      s.checker.faultsEnded();
      await s.wait(93);
    },
  ],
  [
    'accepted_unfit',
    'a job that fits nothing is accepted',
    {},
    async (s) => {
      s.start('m-0');
      s.submitted({ id: 'j-2' }, false);
      await s.told('submit', 201, 'pending', 'j-2');
    },
  ],
];

for (const [rules, name, overrides, play] of MISTAKES) {
  test(`${rules} is noticed: ${name}`, async () => {
    const script = new Script();
    await script.begin(overrides);
    await play(script);
    assert.deepEqual(script.rules().join(' '), rules);
  });
}
