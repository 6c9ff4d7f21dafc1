import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job } from '#wire';
import { CANCEL_S, EventScript, type ScriptSteps } from './sample-script.js';

/** One mistake each, and the rules that it breaks. */
const VIOLATIONS: [rules: string, name: string, overrides: Partial<Job>, steps: ScriptSteps][] = [
  [
    'ran_twice',
    'a task starts while it is elsewhere',
    {},
    (script) => {
      script.startTask('m-0');
      script.startTask('m-1', 0, 2);
    },
  ],
  [
    'quota',
    'a team uses more than its limit',
    { gpus: 4 },
    (script) => {
      script.startTask('m-0', 0);
      script.startTask('m-1', 1);
    },
  ],
  [
    'wrong_place',
    'the type is not allowed',
    { types: ['big'] },
    (script) => script.startTask('m-0'),
  ],
  ['wrong_place', 'the zone is not allowed', { zone: 'b' }, (script) => script.startTask('m-0')],
  ['wrong_place', 'no spot machine is allowed', {}, (script) => script.startTask('m-spot')],
  [
    'wrong_place',
    'a job of one zone starts in two',
    { oneZone: true },
    (script) => {
      script.startTask('m-0', 0);
      script.startTask('m-2', 1);
    },
  ],
  [
    'wrong_place',
    'more than half of a spread job is in one zone',
    { spread: true },
    (script) => {
      script.startTask('m-0', 0);
      script.startTask('m-1', 1);
    },
  ],
  [
    'ran_cancelled',
    'a task is there long after the confirmation',
    {},
    async (script) => {
      script.startTask('m-0');
      await script.cancelJob();
      await script.wait(CANCEL_S + 0.1);
    },
  ],
  [
    'ran_cancelled',
    'a task starts long after the confirmation',
    {},
    async (script) => {
      await script.cancelJob();
      await script.wait(CANCEL_S + 0.1);
      script.startTask('m-0');
    },
  ],
  [
    'started_after_cancel',
    'a task starts soon after the confirmation',
    {},
    async (script) => {
      await script.cancelJob();
      script.startTask('m-0');
      script.endTask('m-0');
    },
  ],
  [
    'forgotten',
    'an accepted job is unknown',
    {},
    async (script) => {
      script.startTask('m-0');
      await script.requestAndAnswer('poll', 404);
    },
  ],
  [
    'forgotten',
    'a repeated submission is refused',
    {},
    async (script) => {
      script.startTask('m-0');
      await script.requestAndAnswer('submit', 422);
    },
  ],
  [
    'forgotten',
    'nobody answers about a job once all faults have ended',
    {},
    async (script) => {
      script.startTask('m-0');
      script.checker.faultsEnded();
      script.observe({ kind: 'unanswered', request: script.sendRequest('poll') });
      await script.wait(77);
    },
  ],
  [
    'forgotten',
    'nobody answers about a job while others are answered',
    {},
    async (script) => {
      script.startTask('m-0');
      script.submitJob({ id: 'j-2' });
      for (let i = 0; i < 20; i++) {
        if (i % 2 === 0) script.answerRequest(script.sendRequest('poll'), 503);
        await script.requestAndAnswer('poll', 200, 'running', 'j-2');
        await script.wait(5);
      }
    },
  ],
  [
    'invented',
    'a job that nobody submitted is known',
    {},
    async (script) => {
      script.startTask('m-0');
      await script.requestAndAnswer('poll', 200, 'pending', 'j-9');
    },
  ],
  [
    'not_done',
    'a job is called done too early',
    {},
    async (script) => {
      script.startTask('m-0');
      script.completeTask(0);
      await script.requestAndAnswer('poll', 200, 'done');
    },
  ],
  [
    'went_back',
    'a job that was done runs',
    {},
    async (script) => {
      script.startTask('m-0');
      script.completeTask(0);
      script.completeTask(1);
      await script.requestAndAnswer('poll', 200, 'done');
      await script.requestAndAnswer('submit', 200, 'running');
    },
  ],
  [
    'went_back',
    'a job is called cancelled and done',
    {},
    async (script) => {
      script.startTask('m-0');
      const early = script.sendRequest('poll');
      script.endTask('m-0');
      await script.cancelJob();
      script.completeTask(0);
      script.completeTask(1);
      script.answerRequest(early, 200, 'done');
    },
  ],
  [
    'went_back',
    'a job is called cancelled that nobody cancelled',
    {},
    async (script) => {
      script.startTask('m-0');
      script.endTask('m-0');
      await script.requestAndAnswer('poll', 200, 'aborted');
    },
  ],
  [
    'refused_fit',
    'a job is refused for good though all that it awaits was accepted',
    {},
    async (script) => {
      script.startTask('m-0');
      script.submitJob({ id: 'j-2', awaits: ['j-000001'] });
      await script.requestAndAnswer('submit', 422, null, 'j-2');
    },
  ],
  [
    'too_early',
    'a task starts before a job that it awaits is done',
    {},
    async (script) => {
      script.completeTask(0);
      await script.submitAcceptedJob({ id: 'j-2', awaits: ['j-000001'] });
      script.startTask('m-0', 0, 1, 'j-2');
    },
  ],
  [
    'too_early',
    'a task starts before a job is done that it needs through another',
    {},
    async (script) => {
      await script.submitAcceptedJob({ id: 'j-2', awaits: ['j-000001'] });
      await script.submitAcceptedJob({ id: 'j-3', awaits: ['j-2'] });
      for (const index of [0, 1]) script.completeTask(index, 'j-2');
      script.startTask('m-0', 0, 1, 'j-3');
    },
  ],
  [
    'orphaned',
    'a job is called pending long after one that it needs is cancelled',
    {},
    async (script) => {
      script.startTask('m-0');
      script.endTask('m-0');
      await script.submitAcceptedJob({ id: 'j-2', awaits: ['j-000001'] });
      await script.submitAcceptedJob({ id: 'j-3', awaits: ['j-2'] });
      await script.cancelJob();
      await script.requestAndAnswer('poll', 200, 'pending', 'j-3');
      await script.wait(CANCEL_S + 0.1);
      await script.requestAndAnswer('poll', 200, 'pending', 'j-3');
    },
  ],
  [
    'went_back',
    'a job is called pending after it was called aborted with one that it needs',
    {},
    async (script) => {
      script.startTask('m-0');
      script.endTask('m-0');
      await script.submitAcceptedJob({ id: 'j-2', awaits: ['j-000001'] });
      await script.cancelJob();
      await script.requestAndAnswer('poll', 200, 'aborted', 'j-2');
      await script.requestAndAnswer('poll', 200, 'pending', 'j-2');
    },
  ],
  ['nothing_ran', 'no task starts', {}, async () => {}],
  [
    'unserved',
    'a job waits while there is capacity',
    {},
    async (script) => {
      script.startTask('m-0');
      script.endTask('m-0');
      script.checker.faultsEnded();
      await script.wait(93);
    },
  ],
  [
    'unserved',
    'a gang of one zone waits while a zone has room for it',
    { kind: 'gang', oneZone: true, tasks: 2, gpus: 3 },
    async (script) => {
      script.startTask('m-2', 0, 1);
      script.endTask('m-2', 0, 1);
      script.checker.faultsEnded();
      await script.wait(93);
    },
  ],
  [
    'accepted_unfit',
    'a job that fits nothing is accepted',
    {},
    async (script) => {
      script.startTask('m-0');
      script.submitJob({ id: 'j-2' }, false);
      await script.requestAndAnswer('submit', 201, 'pending', 'j-2');
    },
  ],
];

for (const [rules, name, overrides, steps] of VIOLATIONS) {
  test(`${rules} is noticed: ${name}`, async () => {
    const script = new EventScript();
    await script.setUp(overrides);
    await steps(script);
    assert.deepEqual(script.brokenRules().join(' '), rules);
  });
}
