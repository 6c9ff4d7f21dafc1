import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job } from '#wire';
import { CANCEL_S, EventScript, type ScriptSteps } from './event-script.js';

/** Sequences of events that each break one rule, or are counted. */
const VIOLATIONS: [rules: string, name: string, overrides: Partial<Job>, steps: ScriptSteps][] = [
  [
    'ran_twice',
    'a task starts while it is on another machine',
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
    'a task starts on a machine of a type that its job does not allow',
    { types: ['big'] },
    (script) => script.startTask('m-0'),
  ],
  [
    'wrong_place',
    'a task starts in a zone that its job does not allow',
    { zone: 'b' },
    (script) => script.startTask('m-0'),
  ],
  [
    'wrong_place',
    'a task starts on a spot machine that its job does not allow',
    {},
    (script) => script.startTask('m-spot'),
  ],
  [
    'wrong_place',
    'a one-zone job starts in two zones',
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
    'a task is still on its machine later than cancel_s after the confirmation',
    {},
    async (script) => {
      script.startTask('m-0');
      await script.cancelJob();
      await script.wait(CANCEL_S + 0.1);
    },
  ],
  [
    'ran_cancelled',
    'a task starts later than cancel_s after the confirmation',
    {},
    async (script) => {
      await script.cancelJob();
      await script.wait(CANCEL_S + 0.1);
      script.startTask('m-0');
    },
  ],
  [
    'started_after_cancel',
    'a task starts within cancel_s after the confirmation',
    {},
    async (script) => {
      await script.cancelJob();
      script.startTask('m-0');
      script.endTask('m-0');
    },
  ],
  [
    'forgotten',
    'a poll about an accepted job is answered with 404',
    {},
    async (script) => {
      script.startTask('m-0');
      await script.requestAndAnswer('poll', 404);
    },
  ],
  [
    'forgotten',
    'a repeated submission of an accepted job is answered with 422',
    {},
    async (script) => {
      script.startTask('m-0');
      await script.requestAndAnswer('submit', 422);
    },
  ],
  [
    'forgotten',
    'polls about a job get no answer although all faults have ended',
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
    'polls about a job fail while polls about another job are answered',
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
    'a poll about a job that nobody submitted is answered with 200',
    {},
    async (script) => {
      script.startTask('m-0');
      await script.requestAndAnswer('poll', 200, 'pending', 'j-9');
    },
  ],
  [
    'not_done',
    'a poll is answered with done before all tasks have completed',
    {},
    async (script) => {
      script.startTask('m-0');
      script.completeTask(0);
      await script.requestAndAnswer('poll', 200, 'done');
    },
  ],
  [
    'went_back',
    'a repeated submission is answered with running after a poll was answered with done',
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
    'a poll is answered with done after the cancellation was confirmed',
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
    'a poll is answered with aborted for a job that nobody cancelled',
    {},
    async (script) => {
      script.startTask('m-0');
      script.endTask('m-0');
      await script.requestAndAnswer('poll', 200, 'aborted');
    },
  ],
  [
    'refused_fit',
    'a job is answered with 422 although its dependency was accepted',
    {},
    async (script) => {
      script.startTask('m-0');
      script.submitJob({ id: 'j-2', awaits: ['j-000001'] });
      await script.requestAndAnswer('submit', 422, null, 'j-2');
    },
  ],
  [
    'too_early',
    'a task starts before a dependency of its job is done',
    {},
    async (script) => {
      script.completeTask(0);
      await script.submitAcceptedJob({ id: 'j-2', awaits: ['j-000001'] });
      script.startTask('m-0', 0, 1, 'j-2');
    },
  ],
  [
    'too_early',
    'a task starts before an indirect dependency of its job is done',
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
    'a poll is answered with pending later than cancel_s after an indirect dependency was cancelled',
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
    'a poll is answered with pending after the job was aborted with its dependency',
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
    'a job waits although there is capacity',
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
    'a one-zone gang waits although a zone has capacity for it',
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
    'a job that cannot run is accepted',
    {},
    async (script) => {
      script.startTask('m-0');
      script.submitJob({ id: 'j-2' }, false);
      await script.requestAndAnswer('submit', 201, 'pending', 'j-2');
    },
  ],
];

for (const [rules, name, overrides, steps] of VIOLATIONS) {
  test(`${rules} is reported when ${name}`, async () => {
    const script = new EventScript();
    await script.setUp(overrides);
    await steps(script);
    assert.deepEqual(script.brokenRules().join(' '), rules);
  });
}
