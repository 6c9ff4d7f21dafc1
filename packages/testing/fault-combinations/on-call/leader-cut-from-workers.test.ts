/**
 * Guards against killed tasks when a leader loses the connections to its workers but keeps its lease: another
 * controller must take over before the leases of the workers run out.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { killedTasks, runScenarioWithSeeds, tasksRunningAt } from '../run-queries.js';
import { BUSY_FROM_S, LEASE_S, steadyScenario } from '../steady-work.js';
import type { CutMode, Fault } from '../../simulation/index.js';

const CUT_S = 35;

for (const mode of ['refuse', 'hold', 'drop'] satisfies CutMode[]) {
  test(`no task is killed when the leader is cut off from its workers alone (${mode})`, async () => {
    const faults: Fault[] = [
      {
        kind: 'controller-cut',
        atS: BUSY_FROM_S,
        forS: CUT_S,
        controllers: 'leader',
        from: ['workers'],
        mode,
      },
    ];
    const scenario = steadyScenario(`cut from workers (${mode})`, BUSY_FROM_S + 60, faults);
    await runScenarioWithSeeds(scenario, [1, 2, 3], ({ faults, leaders, ...result }) => {
      const [cut] = faults.of('controller-cut');
      const successor = leaders.find(({ term }) => term > cut.leader!.term);
      assert.ok(successor && successor.atS < cut.fromS + LEASE_S, 'nobody took over in time');
      assert.notEqual(successor.leader, cut.leader!.leader);
      const fullResult = { faults, leaders, ...result };
      assert.ok(tasksRunningAt(fullResult, cut.fromS) >= 10, 'too few tasks were running');
      assert.deepEqual(killedTasks(fullResult, cut.fromS, cut.untilS + LEASE_S), []);
    });
  });
}
