import type { Job } from '#wire';
import { aJob } from '../samples.js';
import type { PlannedJob } from '../standins/index.js';

const RUN_S = 60;
/** When the first jobs come, and the time from one batch of arrays and gangs to the next. */
const START_S = 2;
const PERIOD_S = 5;

/** Makes the own fields of the job with that index. */
type JobFields = (index: number) => Partial<Job>;

const replica: JobFields = (index) => ({
  class: 'replica',
  kind: 'service',
  rank: 1,
  tasks: 1 + (index % 4),
  cpus: 8,
  memory: 25,
});
const large: JobFields = () => ({
  class: 'big',
  kind: 'service',
  rank: 0,
  tasks: 2,
  cpus: 33,
  gpus: 4,
  memory: 100,
  spread: true,
});
const batch: JobFields = () => ({ class: 'batch', tasks: 20, cpus: 8, memory: 25, spot: true });
const gang: JobFields = (index) => ({
  class: 'gang',
  kind: 'gang',
  rank: 1,
  tasks: 1 + (index % 4),
  cpus: 86,
  gpus: 8,
  memory: 310,
  oneZone: true,
  spot: true,
});

/** Jobs for so many machines: services from the start, arrays and gangs for so many seconds. */
export function planLoad(machines: number, seconds: number): PlannedJob[] {
  const jobs: PlannedJob[] = [];
  const plan = (count: number, atS: number, fields: JobFields) => {
    for (let index = 0; index < count; index++) {
      jobs.push(planJob(jobs.length + 1, atS, fields(index)));
    }
  };
  plan(Math.floor(machines / 2), START_S, replica);
  plan(Math.floor(machines / 5), START_S, large);
  for (let atS = START_S; atS < seconds; atS += PERIOD_S) {
    plan(3, atS, batch);
    plan(2, atS, gang);
  }
  return jobs;
}

function planJob(number: number, atS: number, fields: Partial<Job>): PlannedJob {
  const id = `j-${String(number).padStart(6, '0')}`;
  const job = aJob({ gpus: 1, ...fields, id });
  const program = { job, runS: Array<number>(job.tasks).fill(RUN_S), failsAfterS: null };
  return { program, submitAtS: atS, cancelAfterS: null, repeatAfterS: null };
}
