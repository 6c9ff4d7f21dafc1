import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job, Phase } from '#wire';
import { aJob, STD } from '../../samples.js';
import type { RequestKind, UserRequest, WorldEvent } from '../events.js';
import { SampleWorld } from '../sample-world.js';
import { RuleChecker } from './rule-checker.js';
import { describeViolation } from './violation.js';

const CANCEL_S = 35;
const JOB = 'j-000001';

/** Events and waits, played to a checker one after the other. */
class Script {
  private readonly world = new SampleWorld();
  private readonly clock = this.world.runtime('10.9.0.1').clock;
  readonly checker = new RuleChecker(this.clock, {
    teams: [{ name: 'red', cpus: 0, gpus: 6 }],
    cancelS: CANCEL_S,
  });

  wait(seconds: number): Promise<void> {
    return this.world.run(seconds);
  }

  say(...events: WorldEvent[]): void {
    for (const event of events) this.checker.observe(event);
  }

  submitted(own: Partial<Job> = {}, runnable = true): void {
    const job = aJob({ tasks: 2, ...own });
    this.say({ kind: 'job-submitted', id: job.id, job, runnable });
  }

  machine(name: string, zone = 'a', spot = false): void {
    const machine = { name, sound: true, address: '', type: STD, zone, spot };
    this.say({ kind: 'machine-up', machine });
  }

  start(machine: string, index = 0, attempt = 1, job = JOB): void {
    const task = { job, index, attempt };
    this.say({ kind: 'task-assigned', machine, task }, { kind: 'task-started', machine, task });
  }

  leave(machine: string, index = 0, attempt = 1): void {
    const task = { job: JOB, index, attempt };
    this.say({ kind: 'task-left', machine, task, cause: 'stopped' });
  }

  asked(kind: RequestKind, job = JOB): UserRequest {
    const request = { kind, job };
    this.say({ kind: 'asked', request });
    return request;
  }

  answered(request: UserRequest, status: number, phase: Phase | null = null): void {
    this.say({ kind: 'answered', request, status, phase });
  }

  /** A request that is answered a little later. */
  async told(kind: RequestKind, status: number, phase: Phase | null = null, job = JOB) {
    const request = this.asked(kind, job);
    await this.wait(0.01);
    this.answered(request, status, phase);
  }

  async cancelled(): Promise<void> {
    this.say({ kind: 'cancel-asked', job: JOB });
    await this.told('abort', 200, 'aborted');
  }

  completed(index: number): void {
    this.say({ kind: 'task-completed', job: JOB, index });
  }

  /** An accepted job of two tasks, two machines in zone a and one in zone b. */
  async begin(own: Partial<Job> = {}): Promise<void> {
    for (const [name, zone] of ['a', 'a', 'b'].entries()) this.machine(`m-${name}`, zone);
    this.machine('m-spot', 'a', true);
    this.submitted(own);
    await this.told('submit', 201, 'pending');
  }

  /** The rules that were found broken, counted ones among them. */
  rules(): string[] {
    this.checker.finish();
    return this.checker.findings.map(({ rule }) => rule);
  }
}

type Play = (script: Script) => Promise<void>;

/** What is allowed: no rule may be found broken. */
const ALLOWED: [name: string, play: Play][] = [
  [
    'a task starts again after it has left',
    async (s) => {
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
      s.checker.troublesOver();
      await s.wait(200);
    },
  ],
  [
    'a silent job during troubles, or one that is asked about in vain for a while',
    async (s) => {
      s.start('m-0');
      s.say({ kind: 'unanswered', request: s.asked('poll') });
      await s.wait(300);
      s.checker.troublesOver();
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

/** One mistake each, and the rules that it breaks. */
const MISTAKES: [rules: string, name: string, own: Partial<Job>, play: Play][] = [
  [
    'ran_twice',
    'a task starts while it is elsewhere',
    {},
    async (s) => {
      s.start('m-0');
      s.start('m-1', 0, 2);
    },
  ],
  [
    'quota',
    'a team uses more than its limit',
    { gpus: 4 },
    async (s) => {
      s.start('m-0', 0);
      s.start('m-1', 1);
    },
  ],
  ['wrong_place', 'the type is not allowed', { types: ['big'] }, async (s) => s.start('m-0')],
  ['wrong_place', 'the zone is not allowed', { zone: 'b' }, async (s) => s.start('m-0')],
  ['wrong_place', 'no spot machine is allowed', {}, async (s) => s.start('m-spot')],
  [
    'wrong_place',
    'a job of one zone starts in two',
    { oneZone: true },
    async (s) => {
      s.start('m-0', 0);
      s.start('m-2', 1);
    },
  ],
  [
    'wrong_place',
    'more than half of a spread job is in one zone',
    { spread: true },
    async (s) => {
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
    'nobody answers about a job once all troubles are over',
    {},
    async (s) => {
      s.start('m-0');
      s.checker.troublesOver();
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
  ['nothing_ran', 'no task starts', {}, async () => {}],
  [
    'unserved',
    'a job waits while there is room',
    {},
    async (s) => {
      s.start('m-0');
      s.leave('m-0');
      s.checker.troublesOver();
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
      s.checker.troublesOver();
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

for (const [rules, name, own, play] of MISTAKES) {
  test(`${rules} is noticed: ${name}`, async () => {
    const script = new Script();
    await script.begin(own);
    await play(script);
    assert.deepEqual(script.rules().join(' '), rules);
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
