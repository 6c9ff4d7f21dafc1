/** Scenarios: what a cluster consists of, what its users do and which faults happen when. */
import type { JobClass, Pipeline, StateServiceLimits } from '../stand-ins/index.js';
import type { ClusterSettings } from './cluster-settings.js';
import type { LinkEffect } from './link-rules.js';
import type { MigrationPhase } from './migration-phases.js';
import type { ReplicaMoment } from './replica-moments.js';

/** Which controllers a fault is about, decided at the moment at which it begins. */
export type ControllerTarget =
  /** The leader of the shard at that moment; the first controller if there is none. */
  | 'leader'
  /** All but the leader. */
  | 'followers'
  /** The follower with the lowest number. */
  | 'one-follower'
  /** The controller that gives the shard up in the present or last migration, or the one that takes it. */
  | 'move-source'
  | 'move-target'
  | 'all'
  /** Numbers of controllers, from 0. */
  | number[];

/** Which machines a fault is about, drawn from the running ones at the moment at which it begins. */
export type MachineTarget =
  | { count: number }
  /** Fraction of the running machines, from 0 to 1. */
  | { share: number }
  | { zone: string }
  /** So many machines of the replica that the fault waited for, or else that became whole last. */
  | { ofReplica: number };

/** How a cut connection behaves; see LinkEffect. */
export type CutMode = Exclude<LinkEffect, 'drop-answers'>;

/** What a controller can be cut from. */
export type CutFrom = 'state' | 'cloud' | 'controllers' | 'workers' | 'users';

interface Timed {
  /** Simulated seconds after the start. */
  atS: number;
  /**
   * If given, the fault waits from `atS` on for the next change of leader and begins so many seconds after
   * it.
   */
  afterTakeoverS?: number;
  /** If given, the fault waits from `atS` on for the next migration of the shard to reach this phase. */
  atMovePhase?: MigrationPhase;
  /** If given, the fault waits from `atS` on for the next replica group to reach this phase. */
  atReplicaPhase?: ReplicaMoment;
}

interface Lasting extends Timed {
  forS: number;
}

/** Faults of the state service. */
export type StateFault =
  /** The state service has these limits from now on. */
  | (Timed & { kind: 'state-limits'; limits: Partial<StateServiceLimits> })
  /** The state service refuses everybody; no lease ends meanwhile. */
  | (Lasting & { kind: 'state-outage' })
  /** The state service answers 503 to these controllers alone; their leases run out. */
  | (Lasting & { kind: 'state-refuses'; controllers: ControllerTarget })
  | (Lasting & { kind: 'state-slow'; latencyMs: [least: number, most: number] })
  /** That share of transactions gets no answer and is carried out `delayS` later. */
  | (Lasting & { kind: 'late-writes'; share: number; delayS?: [least: number, most: number] })
  /** That share of transactions is carried out at once and gets no answer. */
  | (Lasting & { kind: 'lost-answers'; share: number });

/** Faults of the cloud. */
export type CloudFault =
  | (Lasting & { kind: 'cloud-outage' })
  /** That share of scale-outs and releases gets no answer and is carried out late. */
  | (Lasting & { kind: 'late-rentals'; share: number; delayS?: [least: number, most: number] })
  /** Machines provisioned meanwhile are up within two seconds. */
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
      /** Seconds until the next start. */
      downS: number;
      /** The others see no reset. */
      silent?: boolean;
    })
  /** The process stands still while its clocks run on. */
  | (Lasting & { kind: 'controller-freeze'; controllers: ControllerTarget })
  /** All controllers crash one after another, the leader last. */
  | (Timed & { kind: 'controller-roll'; downS: number; intervalS: number });

/** Faults of machines and zones. */
export type MachineFault =
  /** Machines end without notice. */
  | (Timed & { kind: 'machine-death'; machines: MachineTarget })
  /** The cloud takes spot machines back after a notice; without one if it is null. */
  | (Timed & { kind: 'machine-taken'; machines: MachineTarget; noticeS: number | null })
  /** Machines stand still and go on later. */
  | (Lasting & { kind: 'machine-hang'; machines: MachineTarget })
  /** No connection with any controller. */
  | (Lasting & { kind: 'machine-cut'; machines: MachineTarget; mode: CutMode })
  /** Heartbeats arrive; answers and direct commands are lost. */
  | (Lasting & { kind: 'machine-deaf'; machines: MachineTarget })
  /** Heartbeats reach no controller; direct commands arrive. */
  | (Lasting & { kind: 'machine-mute'; machines: MachineTarget; mode: CutMode })
  /** A zone with its machines and controllers is cut off from everything else. */
  | (Lasting & { kind: 'zone-cut'; zone: string; mode: CutMode });

/** Faults of messages between workers and controllers. */
export type MessageFault =
  /** Of that share of heartbeats a copy arrives again, or once a new leader has begun. */
  | (Lasting & {
      kind: 'late-reports';
      share: number;
      delayS?: [least: number, most: number];
      forNextLeader?: boolean;
    })
  /** That share of direct commands is carried out later and gets no answer. */
  | (Lasting & { kind: 'late-commands'; share: number; delayS?: [least: number, most: number] });

/** What users do beyond submitting and polling. */
export type UserFault =
  /** Users cancel that many running jobs within a fifth of a second. */
  | (Timed & { kind: 'cancel-now'; count: number; hangS?: number })
  /** That share of the jobs that end is cancelled at the moment of the end. */
  | (Lasting & { kind: 'cancel-at-end'; share: number })
  /** Repeated submissions, cancellations of what is done, jobs that can't run or lack a field. */
  | (Lasting & { kind: 'odd-requests' })
  /** Users ask all controllers within milliseconds of each news about a job. */
  | (Lasting & { kind: 'close-looks' });

/** The operators ask again and again that the shard be moved to the next controller. */
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

/** What the users of a scenario submit. */
export interface ScenarioWorkload {
  classes: JobClass[];
  pipelines?: Pipeline[];
  /** Multiplies the rates of arrival; 1 if absent. */
  intensity?: number;
  /** Jobs come until then, in simulated seconds. */
  untilS: number;
}

/** A cluster, its users and what goes wrong. */
export interface Scenario {
  name: string;
  cluster: ClusterSettings;
  workload: ScenarioWorkload;
  faults: Fault[];
  /** Simulated seconds in all. */
  lengthS: number;
}
