/** Generates random jobs for the model. */
import type { Job } from '#wire';
import type { SeededRandom } from '../../random.js';

const KINDS = ['array', 'array', 'service', 'gang'] as const;
const MAX_ID_ZEROS = 4;

/** Returns a random job with the given number in its id. The length of the id determines how long its tasks run. */
export function randomJob(chance: SeededRandom, number: number): Job {
  const kind = KINDS[chance.int(0, KINDS.length - 1)];
  const zone = chance.withProbability(0.15) ? 'a' : null;
  const job: Job = {
    id: `j-${'0'.repeat(chance.int(0, MAX_ID_ZEROS))}${number}`,
    class: kind,
    team: chance.withProbability(0.5) ? 'red' : 'blue',
    kind,
    rank: chance.int(0, 3),
    tasks: chance.int(1, kind === 'array' ? 4 : 3),
    cpus: 2,
    gpus: chance.int(1, 2),
    memory: 4,
    image: `i${chance.int(0, 2)}`,
    imageGb: 5,
    types: null,
    zone,
    oneZone: chance.withProbability(0.2),
    spread: zone === null && chance.withProbability(0.3),
    spot: chance.withProbability(0.5),
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    awaits: [],
  };
  if (job.oneZone) job.spread = false;
  return job;
}

/** How long each task of the job runs; seconds. */
export function taskDurationS({ id, kind }: Job): number {
  return kind === 'service' ? Infinity : 3 + (id.length % 7) * 2;
}
