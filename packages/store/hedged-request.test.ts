import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoAnswer, sleep, StateRefused } from '#wire';
import { StateServiceFixture } from '#testing';
import { HedgedRequests } from './hedged-request.js';

const LIMITS = { rps: 100, writeRps: 100, valueBytes: 8192, txnOps: 24 };

/** Creates a `HedgedRequests` and a request whose attempts are answered after the given times; Infinity: never. */
async function createHedge(answerTimesS: number[]) {
  const world = await StateServiceFixture.start(LIMITS);
  const { clock } = world.controller();
  const hedge = new HedgedRequests({ clock, minDelayS: 0.25, maxAttempts: 4 });
  const sent: number[] = [];
  const request = async (signal: AbortSignal) => {
    const number = sent.push(world.now);
    const answerS = answerTimesS[number - 1] ?? answerTimesS.at(-1)!;
    await sleep(clock, answerS === Infinity ? 1e6 : answerS * 1000, signal);
    return number;
  };
  return { world, clock, hedge, sent, request };
}

test('a request without an answer is sent again, and resolves with the first answer', async () => {
  const { world, hedge, sent, request } = await createHedge([Infinity, 0.3, 0.01]);
  const answers: number[] = [];
  void hedge.run(request, new AbortController().signal).then((answer) => answers.push(answer));
  await world.run(0.49);
  assert.deepEqual(answers, []);
  await world.run(0.05);
  assert.deepEqual(answers, [3]);
  await world.run(10);
  assert.equal(sent.length, 3);
});

test('steadily slow answers cause no further attempts after the first request', async () => {
  const { world, hedge, sent, request } = await createHedge([0.6]);
  for (let i = 0; i < 20; i++) {
    let answered = false;
    void hedge.run(request, new AbortController().signal).then(() => (answered = true));
    await world.run(0.65);
    assert.ok(answered);
  }
  // 20 requests, of which only the first was sent again.
  assert.equal(sent.length, 22);
});

test('a refusal rejects immediately, and timeouts reject once all attempts have failed', async () => {
  const { world, clock, hedge } = await createHedge([]);
  const { signal } = new AbortController();
  await assert.rejects(
    hedge.run(() => Promise.reject(new StateRefused(503)), signal),
    StateRefused,
  );
  let attempts = 0;
  const timedOut = async (attemptSignal: AbortSignal) => {
    attempts++;
    await sleep(clock, 1000, attemptSignal);
    throw new NoAnswer('timed out');
  };
  const failed = assert.rejects(hedge.run(timedOut, signal), NoAnswer);
  await world.run(2);
  await failed;
  assert.equal(attempts, 4);
});

test('an abort of the signal cancels all attempts', async () => {
  const { world, hedge, request, sent } = await createHedge([Infinity]);
  const stop = new AbortController();
  const failed = assert.rejects(hedge.run(request, stop.signal));
  await world.run(0.3);
  stop.abort();
  await failed;
  await world.run(5);
  assert.equal(sent.length, 2);
});
