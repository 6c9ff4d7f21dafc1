/** Sends requests through the members of replicas. */
import type { Chance } from '../../random.js';
import type { Answer, Mark } from './answers.js';
import type { LiveMember, Members } from './members.js';

/** Seconds that a request takes from one member to the next. */
const HOP_S: [least: number, most: number] = [0.005, 0.06];

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
  private going = true;

  constructor(private readonly options: TrafficOptions) {}

  start(): void {
    const { everyS, members, schedule } = this.options;
    if (!this.going) return;
    for (const replica of members.replicas())
      this.request(replica.job, replica.first, replica.members);
    schedule(everyS, () => {
      this.start();
    });
  }

  stop(): void {
    this.going = false;
  }

  private request(job: string, first: number, size: number): void {
    const { members, reaches, chance } = this.options;
    const entries = members.of(job, first).filter(({ machine }) => reaches(null, machine));
    if (entries.length === 0) return;
    const entry = entries[chance.int(0, entries.length - 1)];
    this.pass(entry, size, [markOf(entry, first)]);
  }

  /** The entry asks the next mate, or answers once it has asked all. */
  private pass(entry: LiveMember, size: number, marks: Mark[], asked = 1): void {
    const { chance, schedule } = this.options;
    const [least, most] = HOP_S;
    schedule(least + (most - least) * chance.next(), () => {
      if (asked === size) this.answer(entry, size, marks);
      else this.askMate(entry, size, marks, asked);
    });
  }

  private askMate(entry: LiveMember, size: number, marks: Mark[], asked: number): void {
    const { members, reaches, isFenced } = this.options;
    const { job, index: first, attempt } = entry.task;
    const mates = members
      .of(job, first + asked)
      .filter(({ machine }) => machine === entry.machine || reaches(entry.machine, machine));
    const mate = mates.find(({ task }) => !isFenced || task.attempt === attempt);
    // Without the mate there is no answer, unless the fence is taken out.
    if (!members.isLive(entry) || (isFenced && !mate)) return;
    this.pass(entry, size, mate ? [...marks, markOf(mate, first)] : marks, asked + 1);
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
