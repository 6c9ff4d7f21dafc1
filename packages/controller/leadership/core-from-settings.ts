/** Creates the fleet state, capacity planner and scheduler of a term from the settings. */
import { CapacityPlanner, FleetListener, FleetState, isBestEffort, Random, Scheduler } from '#core';
import type { ReplicaGroups } from '#replicas';
import type { Term } from '#store';
import { leaderGraceS } from '../settings/time-bounds.js';
import { Settings, teamQuotas } from '../settings/settings.js';

/** Maximum decisions in one scheduling round. A round that reaches it is followed by the next one immediately. */
export const MAX_DECISIONS_PER_ROUND = 200;

/** How long the last answer of a former leader may be in flight, in heartbeat intervals. */
const ANSWER_DELIVERY_INTERVALS = 2;

/** Settings and dependencies of the fleet state of a term. */
export interface FleetStateOptions {
  settings: Settings;
  term: Term;
  /** Maximum size of one record in the state service, in bytes. */
  valueBytes: number;
  listener: FleetListener;
  random: Random;
  /** Null if replica groups are switched off: each task of a service is then a replica by itself. */
  replicaGroups: ReplicaGroups | null;
}

/** Creates the fleet state of a new term, without any records of earlier terms. */
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
    makeReplicas: replicaGroups
      ? (job, shape) => replicaGroups.createJobGroups(job, shape)
      : undefined,
  });
  replicaGroups?.attach(fleet);
  return fleet;
}

/** How long workers may still receive answers of a former leader after the new leader was elected, in seconds. */
function formerLeaderActiveS(cancelS: number, leaseS: number, heartbeatIntervalS: number): number {
  const graceS = leaderGraceS(cancelS, leaseS, heartbeatIntervalS);
  return graceS + ANSWER_DELIVERY_INTERVALS * heartbeatIntervalS;
}

/** Creates the planner of scale-out and scale-in, with those service objectives that name a job class. */
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

/** Creates the scheduler of a term, with the quotas of the teams. */
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
