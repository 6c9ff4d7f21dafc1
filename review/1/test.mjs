import { setTimeout as sleep } from 'node:timers/promises';
import { BROKEN, Cluster, HELD, makeJob, runCase } from '../lib/cluster.mjs';

/** Jobs of the first stage, all accepted and open while the second stage is submitted. */
const FIRST_STAGE = 690;
/** Jobs a second of the second stage on an ordinary day. */
const USUAL_RATE = 3;
/** The trouble: jobs of a class come several times as often. */
const BURST_FACTOR = Number(process.env.TROUBLE ?? 1) === 0 ? 1 : 4;
const BURST_S = 80;
const USERS = 24;
/** A slow machine ends the burst earlier, so that the script keeps to its time. */
const LAST_SUBMISSION_MS = 100_000;

const id = (number) => `j-${String(number).padStart(6, '0')}`;
const small = { cpus: 0.1, memory: 0.2, estimateS: 600 };

await runCase(async () => {
  const cluster = await Cluster.start({ directory: import.meta.dirname });
  const { record } = cluster;
  let next = 1;
  const submitFirstStage = async (at) => {
    while (next <= FIRST_STAGE) {
      const job = makeJob({ ...small, id: id(next++), class: 'limpia-texto' });
      await cluster.submit(job, { at, runS: 600 });
    }
  };
  await Promise.all(Array.from({ length: USERS }, (_, user) => submitFirstStage(user % 3)));
  record.line(`the ${FIRST_STAGE} jobs of the first stage are accepted`);

  const dependencies = Array.from({ length: FIRST_STAGE }, (_, index) => id(index + 1));
  const rate = USUAL_RATE * BURST_FACTOR;
  const begin = performance.now();
  for (let count = 0; count < rate * BURST_S; count++) {
    if (performance.now() - record.startedAt > LAST_SUBMISSION_MS) break;
    const job = makeJob({ ...small, id: id(FIRST_STAGE + 1 + count), class: 'junta-control', awaits: dependencies });
    void cluster.submit(job, { at: count % 3, runS: 20 });
    await sleep(Math.max(0, begin + ((count + 1) * 1000) / rate - performance.now()));
  }
  // Time for the processes that have ended to come back and to read the records.
  await sleep(10_000);
  const answers = await cluster.askAll(id(1));
  record.line(`${cluster.endsByItself} processes ended by themselves; ${answers} controllers answer`);
  return cluster.endsByItself === 0 ? HELD : BROKEN;
});
