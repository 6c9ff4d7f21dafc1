/**
 * Guards against released machines and killed tasks when a leader loses its workers and no other controller
 * can take over until an outage of the state service ends.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { killedTasks, machinesUp, runScenarioWithSeeds, tasksRunningAt } from '../run-queries.js';
import { BUSY_FROM_S, LEASE_S, steadyScenario } from '../steady-work.js';
import type { CutMode, Fault } from '../../simulation/index.js';

const BEGIN_S = BUSY_FROM_S;
const CUT_S = 50;
const OUTAGE_S = 14;

for (const mode of ['refuse', 'hold'] satisfies CutMode[]) {
  test(`machines and tasks are kept when the leader is cut off from its workers (${mode}) right before an outage`, async () => {
    const faults: Fault[] = [
      {
        kind: 'controller-cut',
        atS: BEGIN_S,
        forS: CUT_S,
        controllers: 'leader',
        from: ['workers'],
        mode,
      },
      { kind: 'state-outage', atS: BEGIN_S + 0.5, forS: OUTAGE_S },
    ];
    const endS = BEGIN_S + CUT_S + 30;
    const scenario = steadyScenario(`cut before an outage (${mode})`, endS, faults);
    await runScenarioWithSeeds(scenario, [1, 2, 3], (result) => {
      const [cut] = result.faults.of('controller-cut');
      const [outage] = result.faults.of('state-outage');
      assert.deepEqual(outage.leader, cut.leader);
      const successor = result.leaders.find(({ term }) => term > cut.leader!.term);
      assert.ok(successor, 'nobody took over');
      const delayS = successor.atS - outage.untilS;
      assert.ok(delayS < LEASE_S / 2, `taken over ${delayS} s after the outage`);
      assert.notEqual(successor.leader, cut.leader!.leader);
      const before = machinesUp(result, BEGIN_S, BEGIN_S);
      const kept = machinesUp(result, BEGIN_S, cut.untilS);
      assert.ok(kept.length >= before.length - 1, `${kept.length} of ${before.length} kept`);
      assert.ok(tasksRunningAt(result, BEGIN_S) >= 10, 'too few tasks were running');
      assert.deepEqual(killedTasks(result, cut.fromS, endS), []);
    });
  });
}
