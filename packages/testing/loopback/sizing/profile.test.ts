import assert from 'node:assert/strict';
import { existsSync } from 'node:fs';
import { test } from 'node:test';
import { causeOf, RULES, type StackFrame } from './causes.js';
import { type CpuProfile, sharesByCause } from './profile.js';

const frame = (functionName: string, url: string): StackFrame => ({ functionName, url });
const own = (module: string, functionName = 'f') =>
  frame(functionName, `file:///any/where/target/${module}.js`);
const library = (name: string) => frame('g', `file:///any/where/node_modules/${name}/lib/x.js`);
const node = (name: string, functionName = 'h') => frame(functionName, `node:${name}`);

const SERVER = [node('_http_server'), node('net'), frame('(root)', '')];

const STACKS: [name: string, stack: StackFrame[], cause: ReturnType<typeof causeOf>][] = [
  ['an idle sample', [frame('(idle)', ''), frame('(root)', '')], null],
  [
    'garbage collection within a request',
    [frame('(garbage collector)', ''), ...SERVER],
    'garbage collection',
  ],
  [
    'a heartbeat in modules of an earlier build',
    [library('ajv'), own('wire/report'), own('controller/http-server'), ...SERVER],
    'reports',
  ],
  [
    'a round within a heartbeat',
    [own('core/fit'), own('core/scheduler'), own('controller/report-handler'), ...SERVER],
    'rounds',
  ],
  ['a request of a user', [library('express'), own('controller/http-server'), ...SERVER], 'users'],
  ['a request that is being read', SERVER, 'HTTP server, all else'],
  ['a frame from a peer', [own('peer/frames'), node('net')], 'peers'],
  [
    'an update of the cache of the state service',
    [own('wire/state'), own('store/cache'), node('internal/process/task_queues')],
    'state service, all else',
  ],
  [
    'a write of a record in modules of an earlier build',
    [own('store/client'), own('controller/recorder')],
    'records',
  ],
  ['an answer to an HTTP client', [node('_http_client'), node('net')], 'HTTP clients, all else'],
  [
    'a completed write to a stream',
    [node('internal/stream_base_commons')],
    'sockets, streams and timers',
  ],
  [
    'a heartbeat in present modules',
    [library('ajv'), own('wire/heartbeat'), own('controller/api/http-server'), ...SERVER],
    'reports',
  ],
  [
    'a write of a record in present modules',
    [own('store/state-client'), own('controller/records/batch-sender')],
    'records',
  ],
  ['a module whose name only begins like that of a rule', [own('controller/directory')], 'other'],
];

for (const [name, stack, cause] of STACKS) {
  test(`${name} is attributed to ${cause ?? 'no cause'}`, () =>
    assert.equal(causeOf(stack), cause));
}

test('every module that a rule names exists', () => {
  const packages = new URL('../../../../packages/', import.meta.url);
  const modules = RULES.flatMap((rule) => rule.modules ?? []);
  const files = modules.map((name) => (name.endsWith('/') ? name : `${name}.ts`));
  assert.deepEqual(
    files.filter((file) => !existsSync(new URL(file, packages))),
    [],
  );
});

test('shares count samples within the span only, and no idle time', () => {
  const profile: CpuProfile = {
    nodes: [
      { id: 1, callFrame: frame('(root)', ''), children: [2, 3, 4] },
      { id: 2, callFrame: own('peer/link') },
      { id: 3, callFrame: own('controller/report-handler') },
      { id: 4, callFrame: frame('(idle)', '') },
    ],
    startTime: 1000,
    samples: [2, 2, 3, 4, 3, 2],
    timeDeltas: [100, 100, 300, 100, 300, 100],
  };
  const shares = sharesByCause(profile, { fromUs: 1150, untilUs: 1950 });
  assert.deepEqual([...shares].sort(), [
    ['peers', 100 / 700],
    ['reports', 600 / 700],
  ]);
});
