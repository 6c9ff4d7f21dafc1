import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Figures } from './figure.js';
import { formatTable } from './table.js';

const LIMITS = { cpu_share: 0.1, memory_mb: 100, sockets: 10 };

test('figures are shown relative to the limits, with all runs of a measurement in one row', () => {
  const run = (seconds: number) =>
    new Figures(LIMITS).processorS('to the first answer', seconds).count('requests', 5).all;
  const measured = [0.3, 0.5, 0.4].map((s) => ({ measurement: 'start' as const, figures: run(s) }));
  const leader = new Figures(LIMITS).cores('processor', 0.0512).megabytes('memory', 75.04).all;
  const table = formatTable([...measured, { measurement: 'owner', figures: leader }]);
  const lines = table.trim().split('\n').slice(2);
  const cells = lines.map((line) =>
    line
      .split('|')
      .map((cell) => cell.trim())
      .slice(1, -1),
  );
  assert.deepEqual(cells, [
    ['start', 'to the first answer', '0.4', '0.3', '0.5', 'processor s', '4 s'],
    ['start', 'requests', '5', '5', '5', '', ''],
    ['owner', 'processor', '0.0512', '', '', 'cores', '0.512'],
    ['owner', 'memory', '75', '', '', 'MB', '0.75'],
  ]);
  assert.equal(
    new Set(
      table
        .trim()
        .split('\n')
        .map((line) => line.length),
    ).size,
    1,
    'all lines have the same length',
  );
});

test('processor time of a heartbeat is shown as milliseconds at the limit', () => {
  const figures = new Figures(LIMITS).processorMs('by report', 0.5).all;
  assert.match(formatTable([{ measurement: 'owner', figures }]), /\| +5 ms \|/);
});
