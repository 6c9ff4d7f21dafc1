/** A fleet under random events, for tests that compare incremental data with a full recomputation. */
import type { Machine } from '#core';
import type { SeededRandom } from '../random.js';
import { LARGE_MACHINE, FleetFixture, SETTLED_AT } from './fleet-fixture.js';

const MACHINES = 8;
/** Longest time from one event to the next, in seconds. A lease lasts 10 s. */
const MAX_STEP_S = 2;

/** A small fleet that random events change one after the other. */
export class RandomFleet {
  readonly fixture: FleetFixture;
  now = SETTLED_AT;
  private registeredCount = MACHINES;
  private readonly events: (() => void)[] = [
    () => this.fixture.submit(this.now),
    () => this.round(),
    () => this.round(),
    () => this.heartbeats(),
    () => this.heartbeats(),
    () => this.heartbeats(),
    () => this.fixture.fleet.leases.expire(this.now),
    () => this.provision(),
    () => this.endJob(),
    () => this.stopTask(),
    () => this.fleet.machines.drain(this.pickMachine()),
    () => this.fleet.machines.markFailed(this.pickMachine()),
    () => this.fleet.removeMachine(this.pickMachine().name, this.now),
    () =>
      this.fleet.machines.setType({
        ...LARGE_MACHINE,
        cpus: LARGE_MACHINE.cpus + this.chance.int(0, 3),
      }),
  ];

  constructor(private readonly chance: SeededRandom) {
    this.fixture = FleetFixture.withMachines(MACHINES, chance);
  }

  get fleet() {
    return this.fixture.fleet;
  }

  /** Advances the time and runs one random event. */
  step(): void {
    this.now += this.chance.next() * MAX_STEP_S;
    if (this.fleet.machines.size < MACHINES / 2) this.provision();
    this.events[this.chance.int(0, this.events.length - 1)]();
  }

  private pickMachine(): Machine {
    const machines = [...this.fleet.machines.values()];
    return machines[this.chance.int(0, machines.length - 1)];
  }

  private round(): void {
    const { scheduler, fleet } = this.fixture;
    fleet.machines.updateTotals();
    scheduler.reservations.update(this.now);
    scheduler.round(this.now);
  }

  /** Lets most machines report. Some tasks have ended, and a few machines report a reclaim notice. */
  private heartbeats(): void {
    for (const machine of [...this.fleet.machines.values()]) {
      if (this.chance.withProbability(0.1)) continue;
      const tasks = [...machine.tasks.values()];
      const ended = tasks.filter(({ stop }) =>
        this.chance.withProbability(stop === null ? 0.05 : 0.5),
      );
      const noticeS = this.chance.withProbability(0.05) ? 30 : null;
      const heartbeat = { ...this.fixture.heartbeatOf(machine, new Set(ended)), noticeS };
      this.fleet.heartbeats.handle(heartbeat, this.now);
    }
  }

  private provision(): void {
    this.fixture.addMachineNumber(this.registeredCount++, 'booting', this.now);
  }

  private endJob(): void {
    const jobs = [...this.fleet.jobs.values()];
    if (jobs.length === 0) return;
    const job = jobs[this.chance.int(0, jobs.length - 1)];
    this.fleet.closeJob(job, 'cancelled', this.now);
    this.fleet.jobs.removeEnded();
  }

  private stopTask(): void {
    const [task] = this.pickMachine().tasks.values();
    if (task) this.fleet.assignments.stopGracefully(task, this.now);
  }
}
