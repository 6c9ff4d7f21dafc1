import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { makeFleet, registerMachine } from '#testing';
import { OrderHistory } from './order-history.js';

test('the order history tells what was sent for a task, and keeps the newest orders only', () => {
  const history = new OrderHistory(pino({ enabled: false }));
  const machine = registerMachine(makeFleet(), 'n-1');
  const task = { job: 'j-1', index: 3, attempt: 9 };
  history.add(machine, 'direct', [{ op: 'start', ...task }], 1);
  machine.fencingToken = 150;
  history.add(machine, 'answer', [{ op: 'forget', ...task }], 2);
  const expected = { ...task, machine: 'n-1', shownFencingToken: 0, agentEpoch: 0 };
  assert.deepEqual(history.ofTask(task), [
    { ...expected, op: 'start', route: 'direct', sentAt: 1, fencingToken: 100 },
    { ...expected, op: 'forget', route: 'answer', sentAt: 2, fencingToken: 150 },
  ]);
  const other = { job: 'j-2', index: 0, attempt: 1 };
  for (let count = 0; count < 8192; count++)
    history.add(machine, 'answer', [{ op: 'forget', ...other }], 3);
  assert.deepEqual(history.ofTask(task), []);
  assert.equal(history.ofTask(other).length, 8192);
});
