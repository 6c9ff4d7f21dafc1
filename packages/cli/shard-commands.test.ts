import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { migrationKey, migrationResultKey } from '#shards';
import { shardKey } from '#store';
import { nodeRuntime } from '#wire';
import { FREE_LOOPBACK_PORT, StateService } from '../testing/stand-ins/index.js';
import { until } from '#testing';
import { runCommandLine } from './program.js';

const directory = mkdtempSync(path.join(tmpdir(), 'sorreldale-part-'));
after(() => rmSync(directory, { recursive: true }));
const SAMPLE = fileURLToPath(new URL('../../examples/settings.toml', import.meta.url));
const LIMITS = { rps: 500, writeRps: 200, valueKb: 8, txnOps: 24 };

/** Writes the sample settings with this address of the state service; returns the file. */
function writeSettings(state: string): string {
  const file = path.join(directory, `${state.replace(':', '-')}.toml`);
  const sample = readFileSync(SAMPLE, 'utf8');
  writeFileSync(file, sample.replace(/^state = .*$/m, `state = "${state}"`));
  return file;
}

async function startStateService() {
  const state = new StateService(nodeRuntime, LIMITS);
  const { target } = await state.listen(FREE_LOOPBACK_PORT);
  after(() => state.close());
  const term = state.store.apply([
    { put: shardKey(0), value: { owner: 'controller-0', grant: 1 } },
  ]);
  return { store: state.store, term, config: writeSettings(target) };
}

async function run(...args: string[]) {
  let out = '';
  let err = '';
  const output = { out: (text: string) => (out += text), err: (text: string) => (err += text) };
  const exitCode = await runCommandLine(['part', ...args], output);
  return { exitCode, out, err };
}

test('a completed migration is printed with its term, and a refused migration gives an error with the reason', async () => {
  const { store, config } = await startStateService();
  const accepted = run('move', 'controller-1', '--reason', 'a restart', '--settings', config);
  await Promise.race([accepted, until(() => store.get(migrationKey(0)) !== undefined)]);
  assert.equal((store.get(migrationKey(0))!.value as { reason: string }).reason, 'a restart');
  const term = store.apply([
    { put: shardKey(0), value: { owner: 'controller-1', grant: 2 } },
    { delete: migrationKey(0) },
  ]);
  assert.deepEqual(await accepted, {
    exitCode: 0,
    out: `{"owner":"controller-1","term":${term}}\n`,
    err: '',
  });
  const refused = run('move', 'controller-2', '--settings', config);
  await Promise.race([refused, until(() => store.get(migrationKey(0)) !== undefined)]);
  const result = {
    outcome: 'refused',
    to: 'controller-2',
    reason: '',
    why: 'controller-2 is asleep',
  };
  store.apply([{ delete: migrationKey(0) }, { put: migrationResultKey(0), value: result }]);
  const { exitCode, err } = await refused;
  assert.deepEqual([exitCode, err], [1, 'part move controller-2: controller-2 is asleep\n']);
});

test('a request that the leader does not start is withdrawn, and a second request beside another is refused', async () => {
  const { store, term, config } = await startStateService();
  const ignored = await run('move', 'controller-1', '--within', '0.2', '--settings', config);
  assert.equal(ignored.exitCode, 3);
  assert.match(
    ignored.err,
    /^part move controller-1: withdrawn, the owner did not start it in time.*\n$/,
  );
  assert.equal(store.get(migrationKey(0)), undefined);
  const record = { fromTerm: term, to: 'controller-2', reason: '', phase: 'requested' };
  store.apply([{ put: migrationKey(0), value: record }]);
  const second = await run('move', 'controller-1', '--settings', config);
  assert.deepEqual(second.exitCode, 1);
  assert.match(second.err, /a move to controller-2 is under way/);
  assert.equal((await run('withdraw', '--settings', config)).exitCode, 0);
  assert.equal((await run('withdraw', '--settings', config)).exitCode, 1);
});

test('a damaged record is shown as unreadable and can be withdrawn, and a migration under way cannot', async () => {
  const { store, term, config } = await startStateService();
  store.apply([{ put: migrationKey(0), value: { phase: 'unheard of' } }]);
  const shown = JSON.parse((await run('show', '--settings', config)).out) as { move: string };
  assert.equal(shown.move, 'unreadable');
  assert.deepEqual(shown, {
    part: 0,
    owner: { name: 'controller-0', term },
    move: 'unreadable',
    lastMove: null,
  });
  assert.equal((await run('withdraw', '--settings', config)).exitCode, 0);
  const record = { fromTerm: term, to: 'controller-2', reason: '', phase: 'quiesced', grant: 3 };
  store.apply([{ put: migrationKey(0), value: record }]);
  assert.equal((await run('withdraw', '--settings', config)).exitCode, 1);
  assert.ok(store.get(migrationKey(0)));
});

test('an unknown controller, an invalid time and an unreachable state service give a one-line error', async () => {
  const { config } = await startStateService();
  const cases: [string[], number, RegExp][] = [
    [
      ['move', 'controller-9', '--settings', config],
      2,
      /^controller-9: is not a controller; known controllers: controller-0/,
    ],
    [['move', 'controller-0', '--settings', config], 1, /controller-0 owns the part already/],
    [
      ['move', 'controller-1', '--within', '0', '--settings', config],
      2,
      /^--within 0: must be a number/,
    ],
    [['show', '--settings', path.join(directory, 'none.toml')], 2, /none\.toml: the file: ENOENT/],
    [
      ['show', '--settings', writeSettings('127.0.0.1:9')],
      3,
      /no answer from the state service at/,
    ],
  ];
  for (const [args, exitCode, line] of cases) {
    const result = await run(...args);
    assert.match(result.err, line);
    assert.match(result.err, /^[^\n]+\n$/);
    assert.deepEqual([result.exitCode, result.out], [exitCode, '']);
  }
});
