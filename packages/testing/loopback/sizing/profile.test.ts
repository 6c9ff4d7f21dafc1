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
  ['a pause', [frame('(idle)', ''), frame('(root)', '')], null],
  ['garbage', [frame('(garbage collector)', ''), ...SERVER], 'garbage collection'],
  [
    'a report',
    [library('ajv'), own('wire/report'), own('controller/http-server'), ...SERVER],
    'reports',
  ],
  [
    'a round after a report',
    [own('core/fit'), own('core/scheduler'), own('controller/report-handler'), ...SERVER],
    'rounds',
  ],
  ['a question', [library('express'), own('controller/http-server'), ...SERVER], 'users'],
  ['a request that is being read', SERVER, 'HTTP server, all else'],
  ['a frame', [own('peer/frames'), node('net')], 'peers'],
  [
    'a watch',
    [own('wire/state'), own('store/cache'), node('internal/process/task_queues')],
    'state service, all else',
  ],
  ['a record', [own('store/client'), own('controller/recorder')], 'records'],
  ['an answer from elsewhere', [node('_http_client'), node('net')], 'HTTP clients, all else'],
  ['a write that is done', [node('internal/stream_base_commons')], 'sockets, streams and timers'],
  [
    'a heartbeat',
    [library('ajv'), own('wire/heartbeat'), own('controller/api/http-server'), ...SERVER],
    'reports',
  ],
  [
    'a record of the present modules',
    [own('store/state-client'), own('controller/records/batch-sender')],
    'records',
  ],
  ['a module that is like another by name', [own('controller/directory')], 'other'],
];

for (const [name, stack, cause] of STACKS) {
  test(`${name} counts as ${cause ?? 'idle'}`, () => assert.equal(causeOf(stack), cause));
}

test('the modules that the rules name exist', () => {
  const packages = new URL('../../../../packages/', import.meta.url);
  const modules = RULES.flatMap((rule) => rule.modules ?? []);
  const files = modules.map((name) => (name.endsWith('/') ? name : `${name}.ts`));
  assert.deepEqual(
    files.filter((file) => !existsSync(new URL(file, packages))),
    [],
  );
});

test('only what lies within the span counts, and idle time does not', () => {
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
