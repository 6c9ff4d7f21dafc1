import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { nodeRuntime } from '#wire';
import { FREE_LOOPBACK_PORT, serveCbor } from '../testing/stand-ins/index.js';
import { runCommandLine } from './program.js';

const directory = mkdtempSync(path.join(tmpdir(), 'sorreldale-cli-'));
after(() => rmSync(directory, { recursive: true }));

const SAMPLE_SETTINGS = samplePath('settings.toml');
const SAMPLE_JOB = samplePath('job.json');

function samplePath(name: string): string {
  return fileURLToPath(new URL(`../../examples/${name}`, import.meta.url));
}

function writeTestFile(name: string, text: string): string {
  const file = path.join(directory, name);
  writeFileSync(file, text);
  return file;
}

async function run(...args: string[]) {
  let out = '';
  let err = '';
  const output = { out: (text: string) => (out += text), err: (text: string) => (err += text) };
  const exitCode = await runCommandLine(args, output);
  return { exitCode, out, err };
}

/** Asserts the exit code, an empty standard output, and one line on standard error that matches `line`. */
async function assertFails(args: string[], exitCode: number, line: RegExp): Promise<void> {
  const result = await run(...args);
  assert.match(result.err, /^[^\n]+\n$/, args.join(' '));
  assert.match(result.err, line);
  assert.deepEqual([result.exitCode, result.out], [exitCode, '']);
}

test('a job file that is missing or holds no job gives a one-line error that names the file', async () => {
  const missing = path.join(directory, 'none.json');
  await assertFails(['submit', missing], 2, /none\.json: cannot be read: ENOENT/);
  await assertFails(['submit', directory], 2, /cannot be read: EISDIR/);
  const broken = writeTestFile('broken.json', '{"id": \n\n oops}');
  await assertFails(['submit', broken], 2, /broken\.json: is not JSON: /);
  const list = writeTestFile('list.json', '[1]');
  await assertFails(['submit', list], 2, /list\.json: is not a JSON object/);
});

test('a settings file that is missing, malformed or incomplete gives a one-line error that names the file', async () => {
  const missing = path.join(directory, 'none.toml');
  for (const command of [['check'], ['--config']]) {
    await assertFails([...command, missing], 2, /none\.toml: the file: ENOENT/);
    const broken = writeTestFile('broken.toml', 'host_name = \n');
    await assertFails([...command, broken], 2, /broken\.toml: the file: /);
    const incomplete = writeTestFile('incomplete.toml', 'host_name = "c-0"\n');
    await assertFails([...command, incomplete], 2, /incomplete\.toml: zone: is missing/);
  }
  const operator = writeTestFile('operator.json', '{"floorWeight": 2}');
  const check = ['check', SAMPLE_SETTINGS, '--with-operator'];
  await assertFails([...check, operator], 2, /operator\.json: floorWeight: must be <= 1/);
  const broken = writeTestFile('broken-operator.json', '{');
  await assertFails([...check, broken], 2, /broken-operator\.json: the file: /);
});

test('a controller that does not answer gives an error with its address', async () => {
  const server = await serveCbor(nodeRuntime, FREE_LOOPBACK_PORT, () => ({
    status: 200,
    body: {},
  }));
  server.close();
  const at = ['--at', server.target];
  const noAnswer = new RegExp(`: no answer from ${server.target}: .*ECONNREFUSED`);
  await assertFails(['submit', SAMPLE_JOB, ...at], 3, noAnswer);
  await assertFails(['status', 'j-000001', ...at], 3, noAnswer);
  await assertFails(['abort', 'j-000001', ...at], 3, noAnswer);
});

test('a request that the service refuses gives an error with the status and the reason', async () => {
  const refusal = { status: 400, body: { error: '/pieces must be\n>= 1' } };
  const server = await serveCbor(nodeRuntime, FREE_LOOPBACK_PORT, ({ method }) =>
    method === 'GET' ? { status: 404, body: { error: 'unknown job' } } : refusal,
  );
  const at = ['--at', server.target];
  const from = `refused by ${server.target}:`;
  const submitted = new RegExp(`^submit .*job\\.json: ${from} 400 /pieces must be >= 1\n`);
  await assertFails(['submit', SAMPLE_JOB, ...at], 1, submitted);
  const queried = new RegExp(`^status j-000009: ${from} 404 unknown job\n`);
  await assertFails(['status', 'j-000009', ...at], 1, queried);
  server.close();
});

test('the answer to an accepted job is printed as JSON', async () => {
  const job = { id: 'j-000412', phase: 'pending' };
  const server = await serveCbor(nodeRuntime, FREE_LOOPBACK_PORT, () => ({
    status: 201,
    body: job,
  }));
  const result = await run('submit', SAMPLE_JOB, '--at', server.target);
  server.close();
  assert.deepEqual([result.exitCode, result.err], [0, '']);
  assert.deepEqual(JSON.parse(result.out), { status: 201, ...job });
});

test('invalid arguments are refused before a request is sent', async () => {
  for (const address of ['localhost', '127.0.0.1:', '127.0.0.1:0', '127.0.0.1:70000', ':80']) {
    await assertFails(['status', 'j-1', '--at', address], 2, /^--at .*: must be HOST:PORT/);
  }
  await assertFails(['abort', 'j 1/../x'], 2, /^j 1\/\.\.\/x: is not a job id/);
  await assertFails(['submit'], 2, /missing required argument 'file'/);
  await assertFails(['status', 'j-1', '--when'], 2, /unknown option '--when'/);
  const withoutArguments = await run();
  assert.equal(withoutArguments.exitCode, 2);
  assert.match(withoutArguments.err, /Usage: sorreldale/);
});

test('each command has help with an example', async () => {
  const names = ['submit', 'status', 'abort', 'check', 'schema'];
  for (const args of [[], ...names.map((name) => [name])]) {
    const { exitCode, out, err } = await run(...args, '--help');
    assert.deepEqual([exitCode, err], [0, '']);
    assert.match(out, new RegExp(`Examples?:\n  \\$ sorreldale ${args.join(' ')}`));
  }
});

test('the built program prints the error line and ends with the exit code', () => {
  const launch = fileURLToPath(new URL('./launch.cjs', import.meta.url));
  const command = [launch, 'submit', path.join(directory, 'none.json')];
  const { status, stdout, stderr } = spawnSync(process.execPath, command, { encoding: 'utf8' });
  assert.deepEqual([status, stdout], [2, '']);
  assert.match(stderr, /^[^\n]+none\.json: cannot be read: ENOENT\n$/);
});
