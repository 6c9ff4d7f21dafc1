/** Scenarios: a cluster, the jobs that its users submit, and the faults with their times. */
import type { JobClass, Pipeline, StateServiceLimits } from '../stand-ins/index.js';
import type { ClusterSettings } from './cluster-settings.js';
import type { LinkEffect } from './link-rules.js';
import type { MigrationPhase } from './migration-phases.js';
import type { ReplicaPhase } from './replica-phases.js';

/** Controllers that a fault hits, chosen when the fault begins. */
export type ControllerTarget =
  /** The current leader of the shard; the first controller if there is none. */
  | 'leader'
  /** All but the leader. */
  | 'followers'
  /** The follower with the lowest index. */
  | 'one-follower'
  /** Source or target of the current migration of the shard, or of the last one. */
  | 'move-source'
  | 'move-target'
  | 'all'
  /** Indexes of controllers, counted from 0. */
  | number[];

/** Machines that a fault hits, chosen from the running machines when the fault begins. */
export type MachineTarget =
  | { count: number }
  /** Fraction of the running machines, from 0 to 1. */
  | { share: number }
  | { zone: string }
  /** Number of machines of the replica that the fault waited for, or else of the replica that became `whole` last. */
  | { ofReplica: number };

/** Effect of a cut on connections; see LinkEffect. */
export type CutMode = Exclude<LinkEffect, 'drop-answers'>;

/** Processes and services from which a controller can be cut off. */
export type CutFrom = 'state' | 'cloud' | 'controllers' | 'workers' | 'users';

interface Timed {
  /** Simulated seconds after the start. */
  atS: number;
  /**
   * If given, the fault waits from `atS` on for the next change of leader, and begins this many seconds after
   * the change.
   */
  afterTakeoverS?: number;
  /** If given, the fault waits from `atS` on for the next migration of the shard to reach this phase. */
  atMovePhase?: MigrationPhase;
  /** If given, the fault waits from `atS` on for the next replica group to reach this phase. */
  atReplicaPhase?: ReplicaPhase;
}

interface Lasting extends Timed {
  forS: number;
}

/** Faults of the state service. */
export type StateFault =
  /** Changes the limits of the state service from `atS` on. */
  | (Timed & { kind: 'state-limits'; limits: Partial<StateServiceLimits> })
  /** The state service refuses all requests; no lease expires during the outage. */
  | (Lasting & { kind: 'state-outage' })
  /** The state service answers 503 to these controllers only; their leases expire. */
  | (Lasting & { kind: 'state-refuses'; controllers: ControllerTarget })
  | (Lasting & { kind: 'state-slow'; latencyMs: [least: number, most: number] })
  /** The given fraction of transactions gets no answer and is applied `delayS` later. */
  | (Lasting & { kind: 'late-writes'; share: number; delayS?: [least: number, most: number] })
  /** The given fraction of requests to the state service that were executed and answered arrives once more. */
  | (Lasting & { kind: 'repeated-writes'; share: number; delayS?: [least: number, most: number] })
  /** The given fraction of transactions is applied at once but gets no answer. */
  | (Lasting & { kind: 'lost-answers'; share: number });

/** Faults of the cloud. */
export type CloudFault =
  | (Lasting & { kind: 'cloud-outage' })
  /** The given fraction of requests to provision or release machines gets no answer and is carried out late. */
  | (Lasting & { kind: 'late-rentals'; share: number; delayS?: [least: number, most: number] })
  /** The given fraction of requests to provision or release machines arrives once more after it was answered. */
  | (Lasting & { kind: 'repeated-rentals'; share: number; delayS?: [least: number, most: number] })
  /** Machines that are provisioned during the fault are up within two seconds. */
  | (Lasting & { kind: 'quick-boots' });

/** Faults of controllers. */
export type ControllerFault =
  | (Lasting & {
      kind: 'controller-cut';
      controllers: ControllerTarget;
      from: CutFrom[];
      mode: CutMode;
    })
  /** No controller reaches another. */
  | (Lasting & { kind: 'peers-cut'; mode: CutMode })
  | (Timed & {
      kind: 'controller-crash';
      controllers: ControllerTarget;
      /** Seconds until the controller starts again. */
      downS: number;
      /** If true, the host of the controller resets no connections. */
      silent?: boolean;
    })
  /** The process is suspended while its clocks go on. */
  | (Lasting & { kind: 'controller-freeze'; controllers: ControllerTarget })
  /** All controllers crash one after another, the leader last. */
  | (Timed & { kind: 'controller-roll'; downS: number; intervalS: number });

/** Faults of machines and zones. */
export type MachineFault =
  /** Machines fail without notice. */
  | (Timed & { kind: 'machine-death'; machines: MachineTarget })
  /** The cloud reclaims spot machines `noticeS` after a notice; without a notice if `noticeS` is null. */
  | (Timed & { kind: 'machine-taken'; machines: MachineTarget; noticeS: number | null })
  /** Machines hang and resume later. */
  | (Lasting & { kind: 'machine-hang'; machines: MachineTarget })
  /** Machines are cut off from all controllers, in both directions. */
  | (Lasting & { kind: 'machine-cut'; machines: MachineTarget; mode: CutMode })
  /** Heartbeats arrive at controllers; their answers and direct commands are lost. */
  | (Lasting & { kind: 'machine-deaf'; machines: MachineTarget })
  /** Heartbeats reach no controller; direct commands arrive. */
  | (Lasting & { kind: 'machine-mute'; machines: MachineTarget; mode: CutMode })
  /** A zone with its machines and controllers is cut off from everything else. */
  | (Lasting & { kind: 'zone-cut'; zone: string; mode: CutMode });

/** Faults of messages between workers and controllers. */
export type MessageFault =
  /**
   * The given fraction of heartbeats arrives a second time: after `delayS`, or with `forNextLeader` once the next
   * leader's term has begun.
   */
  | (Lasting & {
      kind: 'late-reports';
      share: number;
      delayS?: [least: number, most: number];
      forNextLeader?: boolean;
    })
  /** The given fraction of direct commands is carried out late and gets no answer. */
  | (Lasting & { kind: 'late-commands'; share: number; delayS?: [least: number, most: number] })
  /** The given fraction of direct commands that were executed and answered arrives once more, `delayS` later. */
  | (Lasting & {
      kind: 'repeated-commands';
      share: number;
      delayS?: [least: number, most: number];
    });

/** Behaviour of users beyond submitting jobs and polling them. */
export type UserFault =
  /** Users cancel `count` running jobs within 0.2 s. */
  | (Timed & { kind: 'cancel-now'; count: number; hangS?: number })
  /** The given fraction of ending jobs is cancelled at the moment at which the job ends. */
  | (Lasting & { kind: 'cancel-at-end'; share: number })
  /** Users repeat submissions, cancel jobs that are done, and submit jobs that can't run or lack a field. */
  | (Lasting & { kind: 'odd-requests' })
  /** Users poll all controllers within milliseconds of each reported change of a job. */
  | (Lasting & { kind: 'close-looks' });

/** The operators request repeatedly that the shard move to the next controller. */
export type OperatorRequest = Lasting & { kind: 'part-moves'; everyS: number };

/** Any fault of a scenario. */
export type Fault =
  | StateFault
  | CloudFault
  | ControllerFault
  | MachineFault
  | MessageFault
  | UserFault
  | OperatorRequest;

/** Jobs that the users of a scenario submit. */
export interface ScenarioWorkload {
  classes: JobClass[];
  pipelines?: Pipeline[];
  /** Factor for the arrival rates of jobs; 1 if absent. */
  intensity?: number;
  /** Time until which jobs are submitted, in simulated seconds. */
  untilS: number;
}

/** A cluster, the workload of its users and the faults that are injected. */
export interface Scenario {
  name: string;
  cluster: ClusterSettings;
  workload: ScenarioWorkload;
  faults: Fault[];
  /** Length of the run, in simulated seconds. */
  lengthS: number;
}
