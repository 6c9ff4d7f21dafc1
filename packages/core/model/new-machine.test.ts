import assert from 'node:assert/strict';
import { test } from 'node:test';
import v8 from 'node:v8';
import vm from 'node:vm';
import { newMachine } from './new-machine.js';

const MACHINES = 100;

test('machines keep their fields in fast form when these are written', () => {
  // Guards against machines that are put together in a way after which V8 keeps their fields in dictionaries: rounds
  // and plans, which read machines most, then take several times as long.
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
  assert.ok(!hasFastFields(changed), 'the check can fail');
});
