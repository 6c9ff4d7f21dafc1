import assert from 'node:assert/strict';
import { test } from 'node:test';
import v8 from 'node:v8';
import vm from 'node:vm';
import { newMachine } from './new-machine.js';

const MACHINES = 100;

test('a new machine keeps fast properties in V8 when its fields are written', () => {
  // Guards against building machines in a way that makes V8 keep their fields in dictionaries: scheduling rounds and
  // capacity plans, which read machines most, then take several times as long.
  v8.setFlagsFromString('--allow-natives-syntax');
  const hasFastFields = vm.runInThisContext('(object) => %HasFastProperties(object)') as (
    object: unknown,
  ) => boolean;
  const machines = Array.from({ length: MACHINES }, (_, number) =>
    newMachine({
      facts: { name: `n-${number}`, addr: '', type: 'std', zone: 'a', spot: false },
      number,
      state: 'up',
      requestedAt: 0,
      fencingToken: 1,
    }),
  );
  for (const machine of machines) {
    machine.answeredSince = 2.5;
    machine.idleSince = 3.5;
    machine.answeredAt = 5.5;
  }
  assert.deepEqual(
    machines.filter((machine) => !hasFastFields(machine)),
    [],
  );
  const changed: Partial<(typeof machines)[0]> = { ...machines[0] };
  delete changed.tasks;
  delete changed.name;
  assert.ok(!hasFastFields(changed), 'the check detects an object with dictionary properties');
});
