import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net, { type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';

const directory = mkdtempSync(path.join(tmpdir(), 'sorreldale-serve-'));
after(() => rmSync(directory, { recursive: true }));

/** Opens a server on a free port of the loopback interface. */
async function listenOnFreePort(): Promise<{ server: net.Server; address: string }> {
  const server = net.createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { address, port } = server.address() as AddressInfo;
  return { server, address: `${address}:${port}` };
}

async function findFreeAddress(): Promise<string> {
  const { server, address } = await listenOnFreePort();
  server.close();
  await once(server, 'close');
  return address;
}

/** Starts the built program as a controller with the sample settings and these two addresses. */
function startController(listen: string, clusterListen: string): ChildProcess {
  const sample = new URL('../../examples/settings.toml', import.meta.url);
  const file = path.join(directory, 'settings.toml');
  const text = readFileSync(sample, 'utf8')
    .replace(/^listen = .*$/m, `listen = "${listen}"`)
    .replace(/^cluster_listen = .*$/m, `cluster_listen = "${clusterListen}"`)
    .replaceAll('"10.', '"127.');
  writeFileSync(file, text);
  const launch = fileURLToPath(new URL('./launch.cjs', import.meta.url));
  const env = { ...process.env, LOG_LEVEL: 'info' };
  return spawn(process.execPath, [launch, '--config', file], {
    env,
    stdio: ['ignore', 'ignore', 'pipe'],
  });
}

test('a controller whose address is in use logs the address and ends with code 4', async () => {
  const { server, address } = await listenOnFreePort();
  const child = startController(await findFreeAddress(), address);
  let log = '';
  child.stderr!.on('data', (chunk: Buffer) => (log += chunk.toString()));
  const [exitCode] = (await once(child, 'close')) as [number | null];
  server.close();
  assert.equal(exitCode, 4);
  const last = JSON.parse(log.trim().split('\n').at(-1)!) as { msg: string; err: string };
  assert.equal(last.msg, 'controller cannot listen on its address, exiting');
  assert.ok(last.err.includes(address), last.err);
});

test('a controller that receives SIGTERM ends with code 0', async () => {
  const child = startController(await findFreeAddress(), await findFreeAddress());
  // The controller handles signals before it writes its first log line.
  await once(child.stderr!, 'data');
  child.kill('SIGTERM');
  child.stderr!.resume();
  const [exitCode, signal] = (await once(child, 'close')) as [number | null, string | null];
  assert.deepEqual([exitCode, signal], [0, null]);
});
