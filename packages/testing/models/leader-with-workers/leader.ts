/** A leader of the model: it runs the production code's fleet state and scheduler. */
import { FleetState, Scheduler } from '#core';
import { STANDARD_TYPE } from '../../samples.js';
import type { DurableRecords } from './durable-records.js';
import type { SeededLeaderFault } from './seeded-faults.js';
import { markRecorded, RecorderModel } from './recorder.js';
import { TEAMS, unlimitedTeams } from './teams.js';
import { FORMER_LEADER_S, LEASE_S, HEARTBEAT_INTERVAL_S } from './timing.js';

const FLEET_SETTINGS = {
  leaseS: LEASE_S,
  heartbeatIntervalS: HEARTBEAT_INTERVAL_S,
  gangPeerS: 6,
  formerLeaderS: FORMER_LEADER_S,
  halfLifeS: 3600,
  machineRecordBytes: 50 * 64,
};
const SCHEDULER_SETTINGS = {
  floorWeight: 0.05,
  stopThreshold: 0.5,
  gangLeaseS: 20,
  preemptAfterS: 2,
  decisionsPerRound: 50,
};

/** One term of a leader: its fleet state, its scheduler, and a recorder that makes changes durable one step later. */
export class LeaderModel {
  readonly fleet: FleetState;
  private readonly scheduler: Scheduler;
  private readonly recorder: RecorderModel;
  /** Time at which it lost the state service. From then on it records nothing, but still answers for a while. */
  deposedAt: number | null = null;
  /** End of a freeze of the process, in which its clock runs on. */
  frozenUntil = -Infinity;

  constructor(
    private readonly records: DurableRecords,
    private readonly seededFault: SeededLeaderFault,
    now: number,
  ) {
    const term = records.beginTerm();
    const settings = { ...FLEET_SETTINGS };
    if (seededFault === 'short-lease') settings.leaseS = LEASE_S / 4;
    if (seededFault === 'skips-former-leader-wait') settings.formerLeaderS = -LEASE_S;
    this.fleet = new FleetState({ settings, term, electedAt: now });
    this.load(now);
    const teams = seededFault === 'ignores-quota' ? unlimitedTeams() : TEAMS;
    this.scheduler = new Scheduler(this.fleet, teams, SCHEDULER_SETTINGS);
    this.recorder = new RecorderModel(records, term, this.fleet, seededFault);
  }

  /** Records the changes of the previous step, applies changes of jobs, and runs a scheduling round. */
  step(now: number): void {
    if (this.deposedAt !== null) return;
    this.recorder.record();
    this.applyJobChanges(now);
    this.fleet.leases.expire(now);
    this.fleet.machines.updateTotals();
    this.scheduler.reservations.update(now);
    this.scheduler.round(now);
    if (this.seededFault === 'starts-before-record') {
      for (const machine of this.fleet.machines.values()) markRecorded(machine);
    }
  }

  /** Whether the leader must not answer any more, since it lost the state service longer than `FORMER_LEADER_S` ago. */
  hasSteppedDown(now: number): boolean {
    const { deposedAt, frozenUntil } = this;
    if (deposedAt === null) return false;
    if (this.seededFault === 'keeps-lease-after-freeze' && frozenUntil > deposedAt) return false;
    return now > deposedAt + FORMER_LEADER_S;
  }

  private load(now: number): void {
    const { records, fleet } = this;
    fleet.machines.setType(STANDARD_TYPE);
    for (const { job, phase } of records.jobs.values()) {
      const state = fleet.addJob(job, now, phase, now);
      for (const index of records.done.get(job.id) ?? []) state.done.add(index);
    }
    for (const [name, { zone, spot, tasks }] of records.machines) {
      const facts = { name, addr: '', type: STANDARD_TYPE.name, zone, spot };
      const machine = fleet.machines.register(facts, 'up', now);
      for (const { job, index, attempt } of tasks) {
        const state = fleet.jobs.get(job);
        if (!state) throw new Error(`machine ${name} has a task of ${job}, which has no record`);
        fleet.assignments.inherit(state, index, machine, attempt, now);
      }
    }
    fleet.machines.updateTotals();
  }

  private applyJobChanges(now: number): void {
    for (const { job, phase } of this.records.jobs.values()) {
      if (phase === 'cancelled' && this.seededFault === 'ignores-cancellations') continue;
      const seen =
        this.seededFault === 'ignores-zones' ? { ...job, zone: null, spread: false } : job;
      this.fleet.addJob(seen, now, phase, now);
    }
  }
}
