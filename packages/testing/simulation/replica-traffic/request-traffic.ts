/** Sends requests to replicas and passes them through the members. */
import type { SeededRandom } from '../../random.js';
import type { Answer, Mark } from './answers.js';
import type { LiveMember, RunningMembers } from './running-members.js';

/** Range of the delay of a request from one member to the next, in seconds. */
const HOP_DELAY_S: [min: number, max: number] = [0.005, 0.06];

/** Dependencies and settings of the simulated traffic. */
export interface TrafficOptions {
  members: RunningMembers;
  chance: SeededRandom;
  now: () => number;
  schedule: (delayS: number, run: () => void) => void;
  /** Whether the machine `to` can be reached from the machine `from`; null stands for the router. */
  reaches: (from: string | null, to: string) => boolean;
  /** Interval between requests to each replica, in seconds. */
  intervalS: number;
  /**
   * If true, members pass requests only to members of their own generation, and answer only with the marks of all
   * members. If false, they pass requests to any member that they reach, and answer without the others.
   */
  isFenced: boolean;
}

/**
 * Simulates a router that sends requests to all replicas at a fixed interval, and the members that serve them: the
 * first member accepts a request, passes it to each other member in turn, and answers.
 */
export class RequestTraffic {
  readonly answers: Answer[] = [];
  private active = true;

  constructor(private readonly options: TrafficOptions) {}

  start(): void {
    const { intervalS, members, schedule } = this.options;
    if (!this.active) return;
    for (const replica of members.replicas())
      this.sendRequest(replica.job, replica.first, replica.members);
    schedule(intervalS, () => {
      this.start();
    });
  }

  stop(): void {
    this.active = false;
  }

  private sendRequest(job: string, first: number, size: number): void {
    const { members, reaches, chance } = this.options;
    const entries = members.of(job, first).filter(({ machine }) => reaches(null, machine));
    if (entries.length === 0) return;
    const entry = entries[chance.int(0, entries.length - 1)];
    this.forward(entry, size, [markOf(entry, first)]);
  }

  /** Lets the entry member ask the next member after a delay, or answer once it has asked all members. */
  private forward(entry: LiveMember, size: number, marks: Mark[], asked = 1): void {
    const { chance, schedule } = this.options;
    const [min, max] = HOP_DELAY_S;
    schedule(min + (max - min) * chance.next(), () => {
      if (asked === size) this.answer(entry, size, marks);
      else this.askNextMember(entry, size, marks, asked);
    });
  }

  private askNextMember(entry: LiveMember, size: number, marks: Mark[], asked: number): void {
    const { members, reaches, isFenced } = this.options;
    const { job, index: first, attempt } = entry.task;
    const candidates = members
      .of(job, first + asked)
      .filter(({ machine }) => machine === entry.machine || reaches(entry.machine, machine));
    const nextMember = candidates.find(({ task }) => !isFenced || task.attempt === attempt);
    // With fencing, a request that misses a member gets no answer.
    if (!members.isLive(entry) || (isFenced && !nextMember)) return;
    this.forward(
      entry,
      size,
      nextMember ? [...marks, markOf(nextMember, first)] : marks,
      asked + 1,
    );
  }

  private answer(entry: LiveMember, memberCount: number, marks: Mark[]): void {
    const { now, reaches } = this.options;
    if (!this.options.members.isLive(entry) || !reaches(null, entry.machine)) return;
    const { job, index: firstTask } = entry.task;
    this.answers.push({ atS: now(), job, firstTask, memberCount, marks });
  }
}

function markOf({ machine, task }: LiveMember, first: number): Mark {
  return { member: task.index - first, generation: task.attempt, machine };
}
