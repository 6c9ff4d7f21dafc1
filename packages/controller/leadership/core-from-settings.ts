/** Makes the fleet state, the planner and the scheduler of a term from the settings. */
import { CapacityPlanner, FleetListener, FleetState, isBestEffort, Random, Scheduler } from '#core';
import type { ReplicaGroups } from '#replicas';
import type { Term } from '#store';
import { graceAfterLoss } from '../settings/time-bounds.js';
import { Settings, teamQuotas } from '../settings/settings.js';

/** Decisions in one scheduling round; the next round follows at once if more could be made. */
export const MAX_DECISIONS_PER_ROUND = 200;

/** Heartbeat intervals that the last answer of a former leader may still be on its way. */
const ANSWER_DELIVERY_INTERVALS = 2;

/** What the fleet state of a term is made from. */
export interface FleetStateOptions {
  settings: Settings;
  term: Term;
  /** The state service's limit for one record, in bytes. */
  valueBytes: number;
  listener: FleetListener;
  random: Random;
  /** Null: each task of a service is a replica by itself. */
  replicaGroups: ReplicaGroups | null;
}

/** The fleet state of a new term; nothing of earlier terms is loaded yet. */
export function makeFleetState(options: FleetStateOptions): FleetState {
  const { settings, term, valueBytes, listener, random, replicaGroups } = options;
  const teams = teamQuotas(settings.deployment.teams);
  const { workers } = settings.deployment;
  const { cancel_s: cancelS, lease_s: leaseS, report_s: heartbeatIntervalS } = workers;
  const fleet = new FleetState({
    settings: {
      leaseS,
      heartbeatIntervalS,
      gangPeerS: workers.gang_peer_s,
      formerLeaderS: formerLeaderActiveS(cancelS, leaseS, heartbeatIntervalS),
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

/** How long a former leader may still answer workers after this one was elected; seconds. */
function formerLeaderActiveS(cancelS: number, leaseS: number, heartbeatIntervalS: number): number {
  const graceS = graceAfterLoss(cancelS, leaseS, heartbeatIntervalS);
  return graceS + ANSWER_DELIVERY_INTERVALS * heartbeatIntervalS;
}

/** The planner of scale-out and scale-in, with the objectives that name a class. */
export function makePlanner(settings: Settings, fleet: FleetState): CapacityPlanner {
  const { deployment, operator } = settings;
  const objectives = deployment.objectives.flatMap(
    ({ class: jobClass, kind, within_s: withinS }) =>
      jobClass === undefined ? [] : [{ class: jobClass, kind, withinS: withinS ?? Infinity }],
  );
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

/** The scheduler of a term, with the teams' quotas. */
export function makeScheduler(settings: Settings, fleet: FleetState): Scheduler {
  const { deployment, operator } = settings;
  return new Scheduler(fleet, teamQuotas(deployment.teams), {
    floorWeight: operator.floorWeight,
    stopThreshold: operator.stopThreshold,
    gangLeaseS: operator.gangLeaseS,
    preemptAfterS: operator.preemptAfterS,
    decisionsPerRound: MAX_DECISIONS_PER_ROUND,
  });
}
