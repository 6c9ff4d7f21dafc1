import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CommanderError } from 'commander';
import { BadArguments, readOptions } from './options.js';

test('options that are not given take their values from the sample settings', () => {
  const { measurements, cluster, machines, jobsPerMinute } = readOptions(['--machines', '100']);
  assert.deepEqual(measurements, ['start', 'owner', 'standby', 'take-over']);
  assert.equal(cluster.controllers, 3);
  assert.deepEqual(cluster.deployment.limits, { cpu_share: 0.25, memory_mb: 128, sockets: 700 });
  assert.ok(Math.abs(jobsPerMinute / machines - 0.276) < 1e-9);
});

test('options on the command line override the settings', () => {
  const { measurements, cluster } = readOptions(
    'take-over owner --controllers 7 --report-s 2.5 --lease-s 15 --cpu-share 0.076'.split(' '),
  );
  assert.deepEqual(measurements, ['owner', 'take-over'], 'in the order in which they run');
  const { workers, limits } = cluster.deployment;
  assert.deepEqual([cluster.controllers, workers.report_s, workers.lease_s], [7, 2.5, 15]);
  assert.equal(limits.cpu_share, 0.076);
  assert.equal(limits.memory_mb, 128);
});

const REFUSED: [args: string, message: RegExp][] = [
  ['--machines 0', /--machines.*whole number of 1 or more/],
  ['--machines 1.5', /--machines.*whole number of 1 or more/],
  ['--seconds soon', /--seconds.*number above 0/],
  ['--jobs-per-minute -1', /--jobs-per-minute.*number of 0 or more/],
  ['everything', /must be one of start, owner/],
  ['--no-such', /unknown option/],
  ['--settings /no/such.toml', /--settings \/no\/such.toml: the file: ENOENT/],
  ['--controllers 1', /--controllers: a take-over needs at least 2/],
];

for (const [args, message] of REFUSED) {
  test(`refuses ${args}`, (t) => {
    t.mock.method(process.stderr, 'write', () => true);
    assert.throws(
      () => readOptions(args.split(' ')),
      (err: unknown) =>
        (err instanceof CommanderError || err instanceof BadArguments) && message.test(err.message),
    );
  });
}
