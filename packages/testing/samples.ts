import type { Job, MachineType, Heartbeat } from '#wire';
import { FleetOptions, FleetState, Machine } from '#core';

/** The standard machine type of tests: 4 GPUs, in zones a and b. */
export const STANDARD_TYPE: MachineType = {
  name: 'std',
  cpus: 16,
  gpus: 4,
  memory: 64,
  cacheGb: 100,
  fetchGbPerS: 1,
  price: 10,
  spotPrice: 4,
  bootS: 30,
  zones: ['a', 'b'],
};

/** An array job of team red with one task. */
export function makeJob(overrides: Partial<Job> = {}): Job {
  return {
    id: 'j-000001',
    class: 'c',
    team: 'red',
    kind: 'array',
    rank: 2,
    tasks: 1,
    cpus: 2,
    gpus: 1,
    memory: 4,
    image: 'i',
    imageGb: 5,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    awaits: [],
    ...overrides,
  };
}

/** An empty fleet in term 100 that knows only the standard machine type. */
export function makeFleet(overrides: Partial<FleetOptions> = {}): FleetState {
  const fleet = new FleetState({
    settings: {
      leaseS: 10,
      heartbeatIntervalS: 1,
      gangPeerS: 6,
      formerLeaderS: 12,
      halfLifeS: 3600,
      machineRecordBytes: 50 * 64,
    },
    term: 100,
    electedAt: 0,
    ...overrides,
  });
  fleet.machines.setType(STANDARD_TYPE);
  return fleet;
}

/** Registers a machine in state `up`, of the standard type in zone a unless overridden. */
export function registerMachine(
  fleet: FleetState,
  name: string,
  overrides: Partial<Machine> = {},
): Machine {
  const facts = { name, addr: '', type: 'std', zone: 'a', spot: false, ...overrides };
  const machine = fleet.machines.register(facts, 'up', overrides.requestedAt ?? 0);
  fleet.machines.updateTotals();
  return machine;
}

/** The first heartbeat of n-1, which has no tasks. */
export function makeHeartbeat(overrides: Partial<Heartbeat> = {}): Heartbeat {
  return {
    machine: 'n-1',
    addr: '',
    type: 'std',
    zone: 'a',
    spot: false,
    agentEpoch: 1,
    sequence: 1,
    fencingToken: 100,
    noticeS: null,
    tasks: [],
    ...overrides,
  };
}
