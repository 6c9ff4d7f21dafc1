import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeartbeatLog } from './heartbeat-log.js';

test('heartbeats are counted by controller, those answered by the leader apart from all others', () => {
  const log = new HeartbeatLog();
  const heard: string[] = [];
  const stop = log.onAnswered(({ machine }) => heard.push(machine));
  const exchange = (machine: string, controller: string, status: number | null) =>
    log.exchanged({ machine, controller, status, sentAtS: 0, endedAtS: 1 });
  exchange('n-1', 'c-0', 200);
  exchange('n-1', 'c-1', 421);
  exchange('n-2', 'c-1', null);
  exchange('n-2', 'c-0', 200);
  stop();
  exchange('n-3', 'c-0', 200);
  log.leaseEnded();
  assert.deepEqual(heard, ['n-1', 'n-2']);
  assert.deepEqual([...log.answered], [['c-0', 3]]);
  assert.deepEqual([...log.notRenewed], [['c-1', 2]]);
  assert.equal(log.leasesEnded, 1);
});
