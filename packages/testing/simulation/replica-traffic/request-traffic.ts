/** Sends requests through the members of replicas. */
import type { Chance } from '../../random.js';
import type { Answer, Mark } from './answers.js';
import type { LiveMember, Members } from './members.js';

/** Seconds that a request takes from one member to the next. */
const HOP_DELAY_S: [least: number, most: number] = [0.005, 0.06];

/** What the traffic needs from its surroundings. */
export interface TrafficOptions {
  members: Members;
  chance: Chance;
  now: () => number;
  schedule: (delayS: number, run: () => void) => void;
  /** Whether the second machine can be reached from the first; null is the router. */
  reaches: (from: string | null, to: string) => boolean;
  /** Seconds from one request to each replica to the next. */
  everyS: number;
  /** Members find mates by generation and answer only with the marks of all; without it they take whom they find. */
  isFenced: boolean;
}

/**
 * A router that sends requests to all replicas at a fixed interval, and the members' share of the work: the
 * first member accepts a request, passes it to each of its mates in turn, and answers.
 */
export class RequestTraffic {
  readonly answers: Answer[] = [];
  private active = true;

  constructor(private readonly options: TrafficOptions) {}

  start(): void {
    const { everyS, members, schedule } = this.options;
    if (!this.active) return;
    for (const replica of members.replicas())
      this.sendRequest(replica.job, replica.first, replica.members);
    schedule(everyS, () => {
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

  /** The entry asks the next mate, or answers once it has asked all. */
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
    // Without the mate there is no answer, unless the fence is taken out.
    if (!members.isLive(entry) || (isFenced && !nextMember)) return;
    this.forward(
      entry,
      size,
      nextMember ? [...marks, markOf(nextMember, first)] : marks,
      asked + 1,
    );
  }

  private answer(entry: LiveMember, members: number, marks: Mark[]): void {
    const { now, reaches } = this.options;
    if (!this.options.members.isLive(entry) || !reaches(null, entry.machine)) return;
    const { job, index: first } = entry.task;
    this.answers.push({ atS: now(), job, first, members, marks });
  }
}

function markOf({ machine, task }: LiveMember, first: number): Mark {
  return { member: task.index - first, generation: task.attempt, machine };
}
