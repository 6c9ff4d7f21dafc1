/**
 * The scheduler as pure state machines, which have no I/O, clock or randomness of their own. `FleetState` holds what
 * the leader knows of its shard; the scheduler and the capacity planner make their decisions from it.
 */
export * from './fleet-state.js';
export type { FleetOptions } from './fleet-data.js';

export * from './model/resources.js';
export type * from './model/fleet-settings.js';
export type { Dependencies } from './model/job-dependencies.js';
export type { BestEffortPredicate } from './model/job-registry.js';
export * from './model/listener.js';
export { MAX_ENTRY_BYTES } from './model/machine-record-size.js';
export * from './model/entities.js';
export * from './model/replica-groups.js';
export type * from './model/replica-shape.js';
export * from './model/task-set.js';

export * from './heartbeats/direct-orders.js';
export * from './heartbeats/heartbeat-processor.js';

export type { Random } from './failures/job-failures.js';

export * from './fair-share/best-effort.js';
export * from './fair-share/service-counter.js';
export * from './fair-share/team-quota.js';

export * from './placement/availability.js';
export * from './placement/task-requirements.js';
export * from './placement/choose-machine.js';
export * from './placement/choose-machines-together.js';
export * from './placement/placement-candidates.js';
export * from './placement/placement-cost.js';
export * from './placement/scheduler.js';

export { HOLD_HEARTBEATS } from './preemption/capacity-holds.js';

export * from './autoscaling/arrival-statistics.js';
export * from './autoscaling/capacity-planner.js';
export * from './autoscaling/consolidation.js';
export * from './autoscaling/scale-out-requests.js';
export * from './autoscaling/scale-in.js';
