/** Fleets with running jobs, for benchmarks and tests. */
import {
  Assignment,
  CapacityPlanner,
  FleetState,
  type BestEffortPredicate,
  isBestEffort,
  JobState,
  Machine,
  MakeReplicas,
  NO_QUOTA,
  Scheduler,
  ScheduleSettings,
} from '#core';
import type { Job, MachineType, Heartbeat, TaskStatus } from '#wire';
import { decodeJob, MACHINES_PREFIX, type MachineRecord } from '#store';
import type { MachineFacts } from '../../core/model/machine-facts.js';
import { SeededRandom } from '../random.js';
import { makeFleet } from '../samples.js';
import type { FleetRecords } from './fleet-records.js';
import { JobSource } from './job-source.js';

/** The type of all machines of the fleet, with 8 accelerators each. */
export const LARGE_MACHINE: MachineType = {
  name: 'large',
  cpus: 96,
  gpus: 8,
  memory: 384,
  cacheGb: 600,
  fetchGbPerS: 4.6,
  price: 20,
  spotPrice: 6,
  bootS: 60,
  zones: ['a', 'b', 'c'],
};

const TEAMS = new Map([['red', NO_QUOTA]]);
const OBJECTIVES = [
  { class: 'replica', kind: 'wait', withinS: 4 },
  { class: 'large', kind: 'wait', withinS: 15 },
  { class: 'gang', kind: 'wait', withinS: 12 },
];
const SCHEDULER_SETTINGS: ScheduleSettings = {
  floorWeight: 0.05,
  preemptAfterS: 2,
  gangLeaseS: 120,
  stopThreshold: 0.5,
  decisionsPerRound: 200,
};
const PLANNER_SETTINGS = { reserveSigmas: 2, idleHoldS: 60, memoryS: 120 };
/** Share of the machines that are spot machines. */
const SPOT_SHARE = 0.2;
/** Maximum number of jobs that are submitted to fill a fleet. */
const MAX_DRAWS = 10_000;

/** When the fleet was filled, in seconds of the monotonic clock. */
const FILLED_AT = 100;
/** When all tasks run and everything is recorded, in seconds of the monotonic clock. */
export const SETTLED_AT = 200;

/** A fleet with the scheduler and the capacity planner of its leader. */
export class FleetFixture {
  readonly fleet: FleetState;
  readonly scheduler: Scheduler;
  readonly planner: CapacityPlanner;
  readonly jobs: JobSource;
  private readonly sequences = new Map<string, number>();

  private constructor(
    readonly chance: SeededRandom,
    schedule: Partial<ScheduleSettings>,
    makeReplicas?: MakeReplicas,
  ) {
    const isOnSpareCapacity: BestEffortPredicate = (job) => isBestEffort(job, TEAMS.get(job.team));
    this.fleet = makeFleet({ isBestEffort: isOnSpareCapacity, makeReplicas });
    this.fleet.machines.setType(LARGE_MACHINE);
    this.scheduler = new Scheduler(this.fleet, TEAMS, { ...SCHEDULER_SETTINGS, ...schedule });
    this.planner = new CapacityPlanner({
      fleet: this.fleet,
      settings: PLANNER_SETTINGS,
      objectives: OBJECTIVES,
      teams: TEAMS,
    });
    this.jobs = new JobSource(chance);
  }

  /** Creates a fleet of this number of empty machines. */
  static withMachines(
    machines: number,
    chance: SeededRandom,
    schedule: Partial<ScheduleSettings> = {},
    makeReplicas?: MakeReplicas,
  ): FleetFixture {
    const fixture = new FleetFixture(chance, schedule, makeReplicas);
    for (let i = 0; i < machines; i++) fixture.addMachineNumber(i, 'up', 0);
    fixture.fleet.machines.updateTotals();
    return fixture;
  }

  /** Creates the fleet of a new leader from the records of another leader, as it is once every worker has reported. */
  static fromRecords({ jobs, machines }: FleetRecords, chance: SeededRandom): FleetFixture {
    const fixture = new FleetFixture(chance, {});
    const { fleet } = fixture;
    for (const { value, version } of jobs) {
      const { job, phase } = decodeJob(value, version);
      fleet.addJob(job, FILLED_AT, phase, FILLED_AT);
      fixture.jobs.skipId(job.id);
    }
    for (const { key, value } of machines) {
      const { tasks, ...facts } = value as MachineRecord;
      const machine = fixture.addMachine({ name: key.slice(MACHINES_PREFIX.length), ...facts });
      for (const [id, index, attempt] of tasks) {
        fleet.assignments.inherit(fleet.jobs.get(id)!, index, machine, attempt, FILLED_AT);
      }
    }
    fleet.machines.updateTotals();
    fixture.settle(SETTLED_AT);
    return fixture;
  }

  /** Adds a machine whose name and zone follow from the number. If it is `up`, its worker has answered this leader. */
  addMachineNumber(number: number, state: 'booting' | 'up', provisionedAt: number): Machine {
    const name = `n-${String(number).padStart(6, '0')}`;
    const zone = LARGE_MACHINE.zones[number % LARGE_MACHINE.zones.length];
    const spot = this.chance.withProbability(SPOT_SHARE);
    const facts = { name, addr: `10.1.0.${number}:9000`, type: LARGE_MACHINE.name, zone, spot };
    if (state === 'up') return this.addMachine(facts);
    return this.fleet.machines.register(facts, state, provisionedAt);
  }

  private addMachine(facts: MachineFacts): Machine {
    const machine = this.fleet.machines.register(facts, 'up', 0);
    return Object.assign(machine, { agentEpoch: 1, termConfirmed: true, answeredAt: SETTLED_AT });
  }

  /** Submits a random job; `overrides` replaces fields of it. */
  submit(now: number, overrides: Partial<Job> = {}): JobState {
    const job = this.jobs.next(overrides);
    const state = this.fleet.addJob(job, now, 'accepted', now);
    this.planner.jobArrived(job, now);
    return state;
  }

  /** Submits and places jobs until at most this share of the accelerators is free. */
  fill(freeShare: number): void {
    const { machines, usage } = this.fleet;
    for (let draws = 0; draws < MAX_DRAWS; draws++) {
      if (usage.amountsOfTeam('red').gpus >= machines.totals.gpus * (1 - freeShare)) break;
      const state = this.submit(FILLED_AT);
      this.scheduler.place(FILLED_AT);
      if (state.assignments.size === 0) this.fleet.closeJob(state, 'cancelled', FILLED_AT);
    }
    this.fleet.jobs.removeEnded();
    this.settle(FILLED_AT);
  }

  /** Marks everything as recorded, every command as executed and every machine as having reported. */
  settle(now: number): void {
    const { machines, unrecordedChanges, machinesWithCommands, jobs } = this.fleet;
    for (const machine of machines.values()) {
      machine.answeredAt = now;
      for (const task of [...machine.tasks.values()]) {
        if (task.stop === null) markRunning(task, now);
        else this.fleet.assignments.end(task, 'stopped', false, now);
      }
    }
    for (const name of [...unrecordedChanges.machines]) unrecordedChanges.machineCollected(name);
    unrecordedChanges.jobs.clear();
    machinesWithCommands.clear();
    jobs.drainChangedCounts();
  }

  /** Creates the next heartbeat of a machine, in which the tasks in `exits` have ended. */
  heartbeatOf(machine: Machine, exits: ReadonlySet<Assignment> = new Set()): Heartbeat {
    const sequence = (this.sequences.get(machine.name) ?? 0) + 1;
    this.sequences.set(machine.name, sequence);
    const { name, addr, type, zone, spot, agentEpoch, fencingToken, tasks } = machine;
    const listed = [...tasks.values()].map((task) => statusOf(task, exits.has(task)));
    const facts = { machine: name, addr, type, zone, spot, agentEpoch, fencingToken };
    return { ...facts, sequence, noticeS: null, tasks: listed };
  }

  /** Draws this number of array tasks, or all if there are fewer, from the whole fleet. */
  drawEndingTasks(count: number): Assignment[] {
    const ending: Assignment[] = [];
    const running = [...this.fleet.machines.values()]
      .flatMap(({ tasks }) => [...tasks.values()])
      .filter(({ job }) => job.spec.kind === 'array');
    while (ending.length < count && running.length > 0) {
      ending.push(...running.splice(this.chance.int(0, running.length - 1), 1));
    }
    return ending;
  }
}

function statusOf({ job, index, attempt }: Assignment, exited: boolean): TaskStatus {
  const ref = { job: job.spec.id, index, attempt };
  if (exited) return { ...ref, state: 'exited', cause: 'done', checkpointed: false };
  return { ...ref, state: 'running', cause: null, checkpointed: false };
}

/** Marks the task as recorded, started and reported as running. */
function markRunning(task: Assignment, now: number): void {
  Object.assign(task, { recorded: true, startSent: true, reportedState: 'running' });
  task.runningSince ??= now;
}
