/** Fleets in the middle of their work, for measurements and for tests that compare decisions. */
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
import { Chance } from '../random.js';
import { aFleet } from '../samples.js';
import type { FleetRecords } from './fleet-records.js';
import { JobSource } from './job-source.js';

/** A large machine: 8 accelerators. */
export const LARGE: MachineType = {
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
const SCHEDULE: ScheduleSettings = {
  floorWeight: 0.05,
  preemptAfterS: 2,
  gangLeaseS: 120,
  stopThreshold: 0.5,
  decisionsPerRound: 200,
};
const CAPACITY = { reserveSigmas: 2, idleHoldS: 60, memoryS: 120 };
/** Share of the machines that are spot machines. */
const SPOT_SHARE = 0.2;
/** Draws until a fleet is taken to be as full as it gets. */
const MOST_DRAWS = 10_000;

/** When the fleet was filled; steady seconds. */
const FILLED_AT = 100;
/** When everything runs and has settled. */
export const STEADY_AT = 200;

/** A fleet and what an owner drives it with. */
export class StandingFleet {
  readonly fleet: FleetState;
  readonly scheduler: Scheduler;
  readonly planner: CapacityPlanner;
  readonly jobs: JobSource;
  private readonly sequences = new Map<string, number>();

  private constructor(
    readonly chance: Chance,
    schedule: Partial<ScheduleSettings>,
    makeReplicas?: MakeReplicas,
  ) {
    const isOnSpareCapacity: BestEffortPredicate = (job) => isBestEffort(job, TEAMS.get(job.team));
    this.fleet = aFleet({ isBestEffort: isOnSpareCapacity, makeReplicas });
    this.fleet.machines.setType(LARGE);
    this.scheduler = new Scheduler(this.fleet, TEAMS, { ...SCHEDULE, ...schedule });
    this.planner = new CapacityPlanner({
      fleet: this.fleet,
      settings: CAPACITY,
      objectives: OBJECTIVES,
      teams: TEAMS,
    });
    this.jobs = new JobSource(chance);
  }

  /** So many empty machines. */
  static ofMachines(
    machines: number,
    chance: Chance,
    schedule: Partial<ScheduleSettings> = {},
    makeReplicas?: MakeReplicas,
  ): StandingFleet {
    const standing = new StandingFleet(chance, schedule, makeReplicas);
    for (let i = 0; i < machines; i++) standing.addMachineNumber(i, 'up', 0);
    standing.fleet.machines.updateTotals();
    return standing;
  }

  /** The fleet that a new owner reads from the records of another one, once every worker has reported. */
  static ofRecords({ jobs, machines }: FleetRecords, chance: Chance): StandingFleet {
    const standing = new StandingFleet(chance, {});
    const { fleet } = standing;
    for (const { value, version } of jobs) {
      const { job, phase } = decodeJob(value, version);
      fleet.addJob(job, FILLED_AT, phase, FILLED_AT);
      standing.jobs.skip(job.id);
    }
    for (const { key, value } of machines) {
      const { tasks, ...facts } = value as MachineRecord;
      const machine = standing.addMachine({ name: key.slice(MACHINES_PREFIX.length), ...facts });
      for (const [id, index, attempt] of tasks) {
        fleet.assignments.inherit(fleet.jobs.get(id)!, index, machine, attempt, FILLED_AT);
      }
    }
    fleet.machines.updateTotals();
    standing.settle(STEADY_AT);
    return standing;
  }

  /** A machine of its own name, zone and kind; one that is up has been heard. */
  addMachineNumber(number: number, state: 'booting' | 'up', provisionedAt: number): Machine {
    const name = `n-${String(number).padStart(6, '0')}`;
    const zone = LARGE.zones[number % LARGE.zones.length];
    const spot = this.chance.hit(SPOT_SHARE);
    const facts = { name, addr: `10.1.0.${number}:9000`, type: LARGE.name, zone, spot };
    if (state === 'up') return this.addMachine(facts);
    return this.fleet.machines.register(facts, state, provisionedAt);
  }

  private addMachine(facts: MachineFacts): Machine {
    const machine = this.fleet.machines.register(facts, 'up', 0);
    return Object.assign(machine, { agentEpoch: 1, termConfirmed: true, answeredAt: STEADY_AT });
  }

  /** A user submits a job. */
  submit(now: number, own: Partial<Job> = {}): JobState {
    const job = this.jobs.next(own);
    const state = this.fleet.addJob(job, now, 'accepted', now);
    this.planner.jobArrived(job, now);
    return state;
  }

  /** Submits jobs and places them until less than so much of the accelerators is free. */
  fill(freeShare: number): void {
    const { machines, usage } = this.fleet;
    for (let draws = 0; draws < MOST_DRAWS; draws++) {
      if (usage.amountsOfTeam('red').gpus >= machines.totals.gpus * (1 - freeShare)) break;
      const state = this.submit(FILLED_AT);
      this.scheduler.place(FILLED_AT);
      if (state.assignments.size === 0) this.fleet.closeJob(state, 'cancelled', FILLED_AT);
    }
    this.fleet.jobs.removeEnded();
    this.settle(FILLED_AT);
  }

  /** All is recorded and every order was carried out. */
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

  /** The next report of a machine; tasks that `exits` names have ended. */
  heartbeatOf(machine: Machine, exits: ReadonlySet<Assignment> = new Set()): Heartbeat {
    const sequence = (this.sequences.get(machine.name) ?? 0) + 1;
    this.sequences.set(machine.name, sequence);
    const { name, addr, type, zone, spot, agentEpoch, fencingToken, tasks } = machine;
    const listed = [...tasks.values()].map((task) => statusOf(task, exits.has(task)));
    const facts = { machine: name, addr, type, zone, spot, agentEpoch, fencingToken };
    return { ...facts, sequence, noticeS: null, tasks: listed };
  }

  /** So many tasks that end by themselves, drawn over the whole fleet. */
  drawEnding(count: number): Assignment[] {
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

/** The task was recorded, started and is seen to run. */
function markRunning(task: Assignment, now: number): void {
  Object.assign(task, { recorded: true, startSent: true, reportedState: 'running' });
  task.runningSince ??= now;
}
