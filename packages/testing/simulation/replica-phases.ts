/** Tracks the phases of replica groups, so that faults can begin at a given phase. */
import type { GroupPhase } from '#replicas';
import type { World } from './world.js';

/**
 * A phase of a replica group. The phases that end in `-again` are reached after a member was lost, or after the
 * replica was moved or stopped.
 */
export type ReplicaPhase = GroupPhase | 'reserved-again' | 'starting-again' | 'whole-again';

/** Fields of the log line with which a leader reports a change of phase. */
interface PhaseLine {
  msg: string;
  to: GroupPhase;
  reason: string | null;
  machines: string[];
}

/** Messages of the log lines that report a change of phase. */
const PHASE_MESSAGES = ['replica phase changed', 'replica repair started'];

/** Tracks the phases of replica groups by the controllers' logs. */
export class ReplicaPhases {
  /** Number of times that each phase was reached. */
  readonly counts = new Map<ReplicaPhase, number>();
  /** Machines of the group that a fault waited for or that became `whole`, whichever came last. */
  machines: string[] = [];
  private waiting: { phase: ReplicaPhase; callback: () => void }[] = [];

  constructor(private readonly world: World) {}

  /** Calls back the next time that a group reaches the phase, right after the current event. */
  onNext(phase: ReplicaPhase, callback: () => void): void {
    this.waiting.push({ phase, callback });
  }

  /** Processes a line of a controller's log. */
  observe(line: string): void {
    if (!line.includes('"replica')) return;
    const { msg, to, reason, machines } = JSON.parse(line) as PhaseLine;
    if (!PHASE_MESSAGES.includes(msg)) return;
    if (to === 'whole') this.machines = machines;
    this.recordPhase(to, machines);
    if (reason !== null && ['reserved', 'starting', 'whole'].includes(to)) {
      this.recordPhase(`${to}-again` as ReplicaPhase, machines);
    }
  }

  private recordPhase(phase: ReplicaPhase, machines: string[]): void {
    this.counts.set(phase, (this.counts.get(phase) ?? 0) + 1);
    const due = this.waiting.filter((each) => each.phase === phase);
    this.waiting = this.waiting.filter((each) => each.phase !== phase);
    for (const { callback } of due) {
      // The leader is still processing an event; the fault must begin right after that event.
      this.world.schedule(0, () => {
        this.machines = machines;
        callback();
      });
    }
  }
}
