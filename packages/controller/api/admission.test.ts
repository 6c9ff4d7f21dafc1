import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { GroupCommit } from '#store';
import { StateServiceFixture } from '#testing';
import { Admission } from './admission.js';

const LIMITS = { rps: 150, writeRps: 50, valueBytes: 8192, txnOps: 24 };
const SHARE = 0.3;
const CHANGES_PER_S = SHARE * LIMITS.writeRps;
const HEARTBEAT_INTERVAL_S = 1;

async function createAdmission(weightOf?: (team: string) => number) {
  const state = await StateServiceFixture.start(LIMITS);
  const runtime = state.controller();
  const client = state.client(runtime, { share: SHARE });
  const commits = new GroupCommit({ client, runtime, maxQueue: 100, weightOf });
  const log = pino({ enabled: false });
  const admission = new Admission({
    runtime,
    client,
    commits,
    heartbeatIntervalS: HEARTBEAT_INTERVAL_S,
    log,
  });
  let submitted = 0;
  const recorded: { team: string; afterS: number }[] = [];
  /** Returns the seconds after which the user should retry; null if the submission is queued to be recorded. */
  const submit = (team: string): number | null => {
    const retryAfterS = admission.refusalDelayS(team);
    if (retryAfterS !== null) return retryAfterS;
    const key = `jobs/${submitted++}`;
    const sentAt = state.now;
    void commits
      .commit(team, [{ key, version: 0 }], [{ put: key, value: team }])
      .then(({ ok }) => ok && recorded.push({ team, afterS: state.now - sentAt }));
    return null;
  };
  return { state, admission, client, submit, recorded };
}

test('a team that submits too much is refused at once, and its accepted submissions are recorded in time', async () => {
  const { state, admission, submit, recorded } = await createAdmission();
  const outcomes = Array.from({ length: 200 }, () => submit('guests'));
  const refused = outcomes.filter((retryAfterS) => retryAfterS !== null);
  assert.ok(refused.length > 100);
  assert.deepEqual(admission.totals(), { guests: refused.length });
  await state.run(4);
  assert.equal(recorded.length, outcomes.length - refused.length);
  assert.ok(Math.max(...recorded.map(({ afterS }) => afterS)) < 2.5 * HEARTBEAT_INTERVAL_S);
});

test('refused users are told to retry one by one, as fast as their submissions can be recorded', async () => {
  const { submit } = await createAdmission();
  const outcomes = Array.from({ length: 2000 }, () => submit('guests'));
  const returns = outcomes.filter((retryAfterS) => retryAfterS !== null);
  assert.ok(returns.every((retryAfterS) => retryAfterS > 0 && retryAfterS <= 30));
  for (let second = 0; second < 15; second++) {
    const together = returns.filter((at) => at >= second && at < second + 1).length;
    assert.ok(together <= CHANGES_PER_S + 1, `${together} return in second ${second}`);
  }
  // Users without a retry time of their own within 30 s are spread over the last 15 s.
  const late = returns.slice(-1000);
  for (let second = 15; second < 30; second++) {
    assert.ok(late.filter((at) => at >= second && at < second + 1).length < 150);
  }
});

test("a flood of one team does not delay another team's submissions, whatever the size of the flood", async () => {
  for (const flood of [100, 1000]) {
    const { state, submit, recorded } = await createAdmission();
    const refusedHosts = [];
    for (let second = 0; second < 10; second++) {
      for (let i = 0; i < flood; i++) submit('guests');
      for (let i = 0; i < 3; i++) refusedHosts.push(submit('hosts'));
      await state.run(1);
    }
    await state.run(3);
    assert.ok(refusedHosts.every((retryAfterS) => retryAfterS === null));
    const waits = recorded.filter(({ team }) => team === 'hosts').map(({ afterS }) => afterS);
    assert.equal(waits.length, 30);
    assert.ok(Math.max(...waits) < HEARTBEAT_INTERVAL_S, `${Math.max(...waits)} s`);
    assert.ok(recorded.filter(({ team }) => team === 'guests').length > 5 * CHANGES_PER_S);
  }
});

test('teams that all submit too much are served in proportion to their weights', async () => {
  const { state, submit, recorded } = await createAdmission((team) => (team === 'large' ? 3 : 1));
  for (let tenth = 0; tenth < 200; tenth++) {
    for (let i = 0; i < 10; i++) for (const team of ['large', 'small']) submit(team);
    await state.run(0.1);
  }
  const count = (team: string) => recorded.filter((each) => each.team === team).length;
  const ratio = count('large') / count('small');
  assert.ok(ratio > 2.5 && ratio < 3.5, `${count('large')} and ${count('small')}`);
});

test('the longer the state service fails, the more the retries of requests it did not serve are spread', async () => {
  const { state, admission, client } = await createAdmission();
  const returns = () => Array.from({ length: 200 }, () => admission.retryAfterFailureS());
  assert.deepEqual(new Set(returns()), new Set([HEARTBEAT_INTERVAL_S]));
  state.service.beginOutage();
  for (const [outageS, mostS] of [
    [4, 2],
    [40, 5],
  ]) {
    client.callInBackground(undefined, (api) => api.get('x')).catch(() => {});
    await state.run(outageS);
    const spread = returns();
    assert.ok(Math.min(...spread) >= HEARTBEAT_INTERVAL_S && Math.max(...spread) <= mostS + 0.5);
    assert.ok(Math.max(...spread) - Math.min(...spread) > (mostS - HEARTBEAT_INTERVAL_S) / 2);
  }
});

test('accepted submissions are answered before users time out, even if other controllers start to use their share', async () => {
  const { state, client, submit, recorded } = await createAdmission();
  client.setChangeShares({ least: SHARE / 6, most: SHARE });
  const outcomes = Array.from({ length: 100 }, () => submit('guests'));
  const accepted = outcomes.filter((retryAfterS) => retryAfterS === null).length;
  // From now on the service refuses requests of this controller beyond its minimum share.
  const otherClient = state.client(state.controller('10.0.0.2'), { share: 1 - SHARE / 6 });
  const puts = Array.from({ length: 4 }, (_, i) => ({ put: `x/${i}`, value: 0 }));
  const useWholeRate = async () => {
    for (;;) await otherClient.txnInBackground([], puts).catch(() => {});
  };
  void useWholeRate();
  await state.run(8);
  assert.ok(client.requestsRefused > 0);
  assert.equal(recorded.length, accepted);
  assert.ok(Math.max(...recorded.map(({ afterS }) => afterS)) < 5);
});
