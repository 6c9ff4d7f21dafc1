import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { FleetState } from '#core';
import { nodeRuntime } from '#wire';
import { makeFleet, makeJob, registerMachine, makeHeartbeat } from '#testing';
import { FREE_LOOPBACK_PORT, serveCbor } from '../../testing/stand-ins/index.js';
import { DirectCommands } from './direct-commands.js';

/** Adds a machine with one task to start, whose worker listens on the address. */
function addMachineWithPendingStart(fleet: FleetState, number: number, addr: string): void {
  const name = `n-${number}`;
  const machine = registerMachine(fleet, name);
  fleet.heartbeats.handle(makeHeartbeat({ machine: name, addr }), 0);
  machine.answeredAt = nodeRuntime.clock.now();
  const job = fleet.addJob(makeJob({ id: `j-${number}` }), 0, 'accepted', 0);
  fleet.assignments.assign(job, 0, machine, fleet.assignments.newAttempt(), 0).recorded = true;
}

test('direct commands to many machines stay within the connection limit', async () => {
  // Guards against keeping one connection open per machine, hundreds of them in addition to those of the heartbeats.
  const machineCount = 12;
  const connectionLimit = 3;
  const fleet = makeFleet();
  let receivedOrders = 0;
  let maxConcurrent = 0;
  let inFlight = 0;
  const workers = [];
  for (let number = 0; number < machineCount; number++) {
    const worker = await serveCbor(nodeRuntime, FREE_LOOPBACK_PORT, async ({ body }) => {
      maxConcurrent = Math.max(maxConcurrent, ++inFlight);
      await new Promise((resolve) => setImmediate(resolve));
      receivedOrders += (body as { orders: unknown[] }).orders.length;
      inFlight--;
      return { status: 409, body: {} };
    });
    workers.push(worker);
    addMachineWithPendingStart(fleet, number, worker.target);
  }
  const abortController = new AbortController();
  await new Promise<void>((resolve) => {
    const direct = new DirectCommands({
      runtime: nodeRuntime,
      fleet,
      timeoutMs: 5000,
      maxConnections: connectionLimit,
      onOrders: () => {},
      onDone: () => {
        assert.ok(direct.connections <= connectionLimit);
        if (receivedOrders === machineCount) {
          direct.close();
          resolve();
        } else direct.push(abortController.signal);
      },
    });
    direct.push(abortController.signal);
  });
  assert.equal(receivedOrders, machineCount);
  assert.ok(maxConcurrent <= connectionLimit);
  for (const worker of workers) worker.close();
});
