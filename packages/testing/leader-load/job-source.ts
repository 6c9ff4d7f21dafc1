/** Random jobs in the proportions of a fleet that serves models. */
import type { Job } from '#wire';
import type { SeededRandom } from '../random.js';
import { makeJob } from '../samples.js';

const ID_PREFIX = 'j-';
/** Number of images of each job class. */
const IMAGES_PER_CLASS = 12;

/** Kinds of jobs, and the share of each among the drawn jobs. */
const JOB_KINDS: { share: number; draw: (chance: SeededRandom) => Partial<Job> }[] = [
  {
    share: 0.12,
    draw: (chance) => ({
      class: 'large',
      kind: 'service',
      rank: 0,
      tasks: chance.int(1, 3),
      cpus: 33,
      gpus: 4,
      memory: 100,
      imageGb: 68,
      spread: true,
    }),
  },
  {
    share: 0.5,
    draw: (chance) => ({
      class: 'replica',
      kind: 'service',
      rank: 1,
      tasks: [1, 2, 4, 8][chance.int(0, 3)],
      cpus: 8,
      gpus: 1,
      memory: 25,
      imageGb: 16,
    }),
  },
  {
    share: 0.2,
    draw: (chance) => ({
      class: 'batch',
      kind: 'array',
      rank: 2,
      tasks: chance.int(5, 40),
      cpus: 8 * (0.7 + 0.6 * chance.next()),
      gpus: 1,
      memory: 25,
      imageGb: 34,
      spot: true,
      estimateS: 60,
    }),
  },
  {
    share: 0.18,
    draw: (chance) => ({
      class: 'gang',
      kind: 'gang',
      rank: 1,
      tasks: chance.int(1, 4),
      cpus: 86,
      gpus: 8,
      memory: 310,
      imageGb: 30,
      oneZone: true,
      spot: true,
      estimateS: 150,
      checkpointS: 20,
      saveS: 3,
    }),
  },
];

/** Draws random jobs, each with a unique id. */
export class JobSource {
  private count = 0;

  constructor(private readonly chance: SeededRandom) {}

  /** Excludes an id that is in use: later ids are higher. */
  skipId(id: string): void {
    this.count = Math.max(this.count, Number(id.slice(ID_PREFIX.length)));
  }

  /** Draws a job; `overrides` replaces fields of it. */
  next(overrides: Partial<Job> = {}): Job {
    let left = this.chance.next();
    const kind = JOB_KINDS.find(({ share }) => (left -= share) < 0) ?? JOB_KINDS[1];
    const drawn = kind.draw(this.chance);
    const image = `${drawn.class}-${this.chance.int(1, IMAGES_PER_CLASS)}`;
    const id = ID_PREFIX + String(++this.count).padStart(6, '0');
    return makeJob({ image, ...drawn, ...overrides, id });
  }
}
