import { CapacityPlanner, FleetListener, FleetState, isBestEffort, Random, Scheduler } from '#core';
import type { ReplicaGroups } from '#replicas';
import type { Term } from '#store';
import { graceAfterLoss } from '../settings/time-bounds.js';
import { Settings, teamQuotas } from '../settings/settings.js';

/** Decisions in one scheduling round; the next round follows at once if more could be made. */
export const ROUND_DECISIONS = 200;

export interface FleetStateOptions {
  settings: Settings;
  term: Term;
  /** The state service's limit for one record. */
  valueBytes: number;
  listener: FleetListener;
  random: Random;
  /** Null: each task of a service is a replica by itself. */
  replicaGroups: ReplicaGroups | null;
}

/** The state of a term's part. */
export function makeFleetState(options: FleetStateOptions): FleetState {
  const { settings, term, valueBytes, listener, random, replicaGroups } = options;
  const teams = teamQuotas(settings.deployment.teams);
  const { cancel_s, lease_s, report_s, gang_peer_s } = settings.deployment.workers;
  const fleet = new FleetState({
    settings: {
      leaseS: lease_s,
      heartbeatIntervalS: report_s,
      gangPeerS: gang_peer_s,
      formerLeaderS: graceAfterLoss(cancel_s, lease_s, report_s) + 2 * report_s,
      halfLifeS: settings.operator.shareHalfLifeS,
      machineRecordBytes: valueBytes,
    },
    term: term.term,
    electedAt: term.electedAt,
    listener,
    random,
    isBestEffort: (job) => isBestEffort(job, teams.get(job.team)),
    makeReplicas: replicaGroups ? (job, shape) => replicaGroups.make(job, shape) : undefined,
  });
  replicaGroups?.attach(fleet);
  return fleet;
}

export function makePlanner(settings: Settings, fleet: FleetState): CapacityPlanner {
  const { deployment, operator } = settings;
  const objectives = deployment.objectives
    .filter((o) => o.class !== undefined)
    .map((o) => ({ class: o.class!, kind: o.kind, withinS: o.within_s ?? Infinity }));
  return new CapacityPlanner({
    fleet,
    settings: {
      reserveSigmas: operator.reserveSigmas,
      idleHoldS: operator.idleHoldS,
      memoryS: operator.arrivalMemoryS,
    },
    objectives,
    teams: teamQuotas(deployment.teams),
  });
}

export function makeScheduler(settings: Settings, fleet: FleetState): Scheduler {
  const { deployment, operator } = settings;
  return new Scheduler(fleet, teamQuotas(deployment.teams), {
    floorWeight: operator.floorWeight,
    stopThreshold: operator.stopThreshold,
    gangLeaseS: operator.gangLeaseS,
    preemptAfterS: operator.preemptAfterS,
    decisionsPerRound: ROUND_DECISIONS,
  });
}
