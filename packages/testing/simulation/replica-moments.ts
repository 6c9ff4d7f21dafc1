/** Follows the phases of replica groups, so that faults can begin at one. */
import type { GroupPhase } from '#replicas';
import type { World } from './world.js';

/** A phase of a replica group; `-again`: after a member was lost, or the replica was moved or stopped. */
export type ReplicaMoment = GroupPhase | 'reserved-again' | 'starting-again' | 'whole-again';

/** What a leader's log says of a change of phase. */
interface PhaseLine {
  msg: string;
  to: GroupPhase;
  reason: string | null;
  machines: string[];
}

/** Messages of the log that tell of a change of phase. */
const PHASE_MESSAGES = ['replica phase changed', 'replica repair started'];

/** Follows the phases of replica groups by the controllers' logs. */
export class ReplicaMoments {
  /** How often each phase was reached. */
  readonly counts = new Map<ReplicaMoment, number>();
  /** Machines of the group that reached a phase last, and of the one that a fault waited for last. */
  machines: string[] = [];
  private waiting: { phase: ReplicaMoment; callback: () => void }[] = [];

  constructor(private readonly world: World) {}

  /** Calls back right after a group has reached the phase. */
  onNext(phase: ReplicaMoment, callback: () => void): void {
    this.waiting.push({ phase, callback });
  }

  /** Reads a line of a controller's log. */
  observe(line: string): void {
    if (!line.includes('"replica')) return;
    const { msg, to, reason, machines } = JSON.parse(line) as PhaseLine;
    if (!PHASE_MESSAGES.includes(msg)) return;
    if (to === 'whole') this.machines = machines;
    this.recordPhase(to, machines);
    if (reason !== null && ['reserved', 'starting', 'whole'].includes(to)) {
      this.recordPhase(`${to}-again` as ReplicaMoment, machines);
    }
  }

  private recordPhase(phase: ReplicaMoment, machines: string[]): void {
    this.counts.set(phase, (this.counts.get(phase) ?? 0) + 1);
    const due = this.waiting.filter((each) => each.phase === phase);
    this.waiting = this.waiting.filter((each) => each.phase !== phase);
    for (const { callback } of due) {
      // The leader is in the middle of an event; the fault begins right after it.
      this.world.schedule(0, () => {
        this.machines = machines;
        callback();
      });
    }
  }
}
