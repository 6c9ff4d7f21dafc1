/**
 * Guards against lost work when leadership changes many times in a row, during an outage of the state service,
 * or while machines are out of reach, and when all controllers are down at once.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseHostPort } from '#wire';
import { HEARTBEAT_PATH, type Fault, type ScenarioResult } from '../simulation/index.js';
import {
  killedTasks,
  machinesUp,
  runScenarioWithSeeds,
  heartbeatsAnswered,
  tasksRunningAt,
} from './run-queries.js';
import { BUSY_FROM_S, LEASE_S, steadyScenario } from './steady-work.js';

const BEGIN_S = BUSY_FROM_S;
/** Least time without a leader after a leader crashes, in seconds: the lease of the leader has to run out first. */
const ELECTION_LEASE_S = LEASE_S / 4;

function leaderCrashes(times: number[], downS = 0.5): Fault[] {
  return times.map((atS) => ({ kind: 'controller-crash', atS, controllers: 'leader', downS }));
}

/** Times at which standbys began or stopped to renew leases of workers in place of the leader, from their logs. */
function standbyChanges({ controllers }: ScenarioResult) {
  return controllers.flatMap(({ name, log }) =>
    log.entries('standby renewal changed').map(({ atS, renewing }) => ({ name, atS, renewing })),
  );
}

test('no task is killed by ten leader changes in two minutes, and standbys renew leases after a crash in an outage', async () => {
  const outage = { fromS: BEGIN_S + 30, forS: 20 };
  const endsInOutageS = outage.fromS + 3;
  const before = [0, 10, 20].map((s) => BEGIN_S + s);
  const after = [60, 70, 80, 90, 100, 110].map((s) => BEGIN_S + s);
  const faults: Fault[] = [
    ...leaderCrashes([...before, endsInOutageS, ...after]),
    { kind: 'state-outage', atS: outage.fromS, forS: outage.forS },
  ];
  await runScenarioWithSeeds(
    steadyScenario('ten leaders', BEGIN_S + 130, faults),
    [1, 2, 3],
    (result) => {
      const changes = result.leaders.filter(({ atS }) => atS > BEGIN_S && atS < BEGIN_S + 120);
      assert.ok(changes.length >= 10, `${changes.length} leaders`);
      const [record] = result.faults.of('state-outage');
      const inOutage = result.faults
        .of('controller-crash')
        .filter(({ fromS }) => fromS === endsInOutageS);
      const ended = inOutage[0].leader!.leader;
      const renewing = standbyChanges(result).filter(
        ({ atS, renewing }) => renewing && atS > endsInOutageS && atS < record.untilS,
      );
      assert.ok(renewing.length > 0, 'no standby renewed leases');
      assert.ok(renewing.every(({ name }) => name !== ended));
      const answered = renewing.map(({ name, atS }) =>
        heartbeatsAnswered(result, name, atS, record.untilS),
      );
      assert.ok(
        answered.some((heartbeats) => heartbeats > 3 * LEASE_S),
        `${answered} heartbeats`,
      );
      assert.deepEqual(killedTasks(result, BEGIN_S, BEGIN_S + 130), []);
      assert.ok(tasksRunningAt(result, BEGIN_S + 120) >= 10);
    },
  );
});

test('tasks on machines that are cut off or deaf while leadership changes are killed and run again', async () => {
  const cut = { fromS: BEGIN_S, forS: 14 };
  // Long enough for a worker that receives no answer to try every controller.
  const deafS = 20;
  const faults: Fault[] = [
    { kind: 'machine-cut', atS: cut.fromS, forS: cut.forS, machines: { zone: 'a' }, mode: 'hold' },
    { kind: 'controller-crash', atS: cut.fromS + 1, controllers: 'leader', downS: 5 },
    { kind: 'machine-deaf', atS: cut.fromS + 1.5, forS: deafS, machines: { zone: 'b' } },
  ];
  const lengthS = BEGIN_S + 70;
  await runScenarioWithSeeds(
    steadyScenario('machines out of reach', lengthS, faults),
    [1, 2, 3],
    (result) => {
      const [crash] = result.faults.of('controller-crash');
      const [cutMachines] = result.faults.of('machine-cut');
      const [deafMachines] = result.faults.of('machine-deaf');
      const successor = result.leaders.find(({ term }) => term > crash.leader!.term)!;
      assert.ok(successor.atS < cutMachines.untilS - 5 && successor.atS > deafMachines.fromS);
      // All of these machines had tasks, whose leases ended while the new leader could not know it.
      const hit = new Set([...cutMachines.machines, ...deafMachines.machines]);
      const killed = result.timeline
        .of('task-left', successor.atS, deafMachines.untilS + 1)
        .filter(({ cause, machine }) => cause === 'killed' && hit.has(machine));
      assert.ok(new Set(killed.map(({ machine }) => machine)).size >= 3);
      const deaf = machinesUp(result, successor.atS, deafMachines.untilS)
        .filter(({ name }) => deafMachines.machines.includes(name))
        .map(({ address }) => parseHostPort(address).host);
      const unheard = result.requests
        .find({
          path: HEARTBEAT_PATH,
          status: 200,
          controller: successor.leader,
          fromS: successor.atS,
        })
        .filter(({ clientHost, atS }) => deaf.includes(clientHost) && atS < deafMachines.untilS);
      assert.ok(unheard.length > 0, 'the new leader answered no deaf machine');
      const restarted = killed.filter(({ atS, task }) =>
        result.timeline
          .of('task-started', atS)
          .some(({ task: { job, index } }) => job === task.job && index === task.index),
      );
      assert.ok(restarted.length > 0, 'nothing that was killed ran again');
    },
  );
});

test('no task is killed when the leader changes back and forth and then all controllers crash, of which one soon returns', async () => {
  const handOvers = [0, 9, 18, 27].map((s) => BEGIN_S + s);
  const endS = BEGIN_S + 40;
  const faults: Fault[] = [
    ...handOvers.map((atS): Fault => ({
      kind: 'state-refuses',
      atS,
      controllers: 'leader',
      forS: 6,
    })),
    { kind: 'controller-crash', atS: endS, controllers: 'followers', downS: 15 },
    { kind: 'controller-crash', atS: endS, controllers: 'leader', downS: 0.6 },
  ];
  await runScenarioWithSeeds(
    steadyScenario('over and back', endS + 40, faults),
    [1, 2, 3],
    (result) => {
      const leaders = result.leaders.filter(({ atS }) => atS < endS).map(({ leader }) => leader);
      assert.ok(leaders.length > handOvers.length);
      assert.ok(new Set(leaders).size < leaders.length, 'nobody led a second time');
      const [, leaderCrash] = result.faults.of('controller-crash');
      const returned = leaderCrash.leader!.leader;
      const next = result.leaders.find(({ term }) => term > leaderCrash.leader!.term);
      assert.equal(next?.leader, returned);
      assert.ok(next.atS < endS + 15);
      assert.ok(heartbeatsAnswered(result, returned, next.atS, endS + 15) > LEASE_S);
      assert.deepEqual(killedTasks(result, BEGIN_S, endS + 40), []);
    },
  );
});

test('all controllers crash: tasks survive an absence of less than a second, and end when it is longer than a lease', async () => {
  for (const downS of [0.8, LEASE_S + ELECTION_LEASE_S]) {
    const faults: Fault[] = [{ kind: 'controller-crash', atS: BEGIN_S, controllers: 'all', downS }];
    const lengthS = BEGIN_S + 60;
    await runScenarioWithSeeds(steadyScenario('all away', lengthS, faults), [1, 2], (result) => {
      const running = tasksRunningAt(result, BEGIN_S);
      assert.ok(running >= 10);
      const answers = result.requests.find({ fromS: BEGIN_S + 0.01, untilS: BEGIN_S + downS });
      assert.deepEqual(answers, []);
      if (downS < 1) assert.deepEqual(killedTasks(result, BEGIN_S, lengthS), []);
      else assert.equal(tasksRunningAt(result, BEGIN_S + downS), 0);
      assert.ok(tasksRunningAt(result, lengthS) >= 10);
    });
  }
});
