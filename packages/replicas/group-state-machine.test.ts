import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type GroupEvent,
  type GroupState,
  mayBePlaced,
  mayStart,
  newGroup,
  phaseOf,
  step,
} from './group-state-machine.js';

const MEMBERS = 3;

/** Returns the state after the events. */
function apply(events: GroupEvent[], from: GroupState = newGroup(MEMBERS)): GroupState {
  return events.reduce((state, event) => step(state, event).state, from);
}

/** Creates one event of a kind for each member. */
function forAll(kind: 'placed' | 'inherited' | 'recorded' | 'running', generation: number) {
  return [0, 1, 2].map((member): GroupEvent => ({ kind, member, generation }));
}

test('no start is allowed before every member has a durable place', () => {
  const placed = apply(forAll('placed', 7));
  assert.equal(phaseOf(placed), 'reserved');
  const [first, second, third] = forAll('recorded', 7);
  const almost = apply([first, second], placed);
  assert.equal(mayStart(almost, 7), false);
  const all = apply([third], almost);
  assert.equal(mayStart(all, 7), true);
  assert.equal(mayStart(all, 6), false);
  assert.equal(phaseOf(all), 'starting');
  assert.equal(phaseOf(apply(forAll('running', 7), all)), 'whole');
});

test('a running member stays running when its record is written again', () => {
  const whole = apply([...forAll('placed', 7), ...forAll('recorded', 7), ...forAll('running', 7)]);
  assert.equal(phaseOf(apply(forAll('recorded', 7), whole)), 'whole');
});

test('a lost member stops the others once, and no new generation is placed before all of them are gone', () => {
  const whole = apply([...forAll('placed', 7), ...forAll('recorded', 7), ...forAll('running', 7)]);
  const lost = step(whole, { kind: 'gone', member: 1, generation: 7 });
  assert.deepEqual(
    lost.stop.map(({ member }) => member),
    [0, 2],
  );
  assert.equal(phaseOf(lost.state), 'repairing');
  const second = step(lost.state, { kind: 'gone', member: 0, generation: 7 });
  assert.deepEqual(second.stop, []);
  assert.equal(mayBePlaced(second.state), false);
  assert.throws(() => step(second.state, { kind: 'placed', member: 0, generation: 8 }));
  const gone = apply([{ kind: 'gone', member: 2, generation: 7 }], second.state);
  assert.equal(mayBePlaced(gone), true);
  assert.throws(() => step(gone, { kind: 'placed', member: 0, generation: 7 }), /generation 7/);
  assert.equal(phaseOf(apply(forAll('placed', 8), gone)), 'reserved');
});

test('a new leader adopts the newest generation if the records name all its members, and ends older ones', () => {
  const old: GroupEvent = { kind: 'inherited', member: 1, generation: 5 };
  const adopted = step(apply([old, ...forAll('inherited', 7)]), { kind: 'loaded' });
  assert.deepEqual(adopted.stop, [{ member: 1, generation: 5 }]);
  assert.equal(phaseOf(adopted.state), 'starting');
  assert.equal(phaseOf(apply(forAll('running', 7), adopted.state)), 'whole');
});

test('a new leader ends a generation if its records lack a member', () => {
  const [first, second] = forAll('inherited', 7);
  const loaded = step(apply([first, second]), { kind: 'loaded' });
  assert.equal(loaded.stop.length, 2);
  assert.equal(phaseOf(loaded.state), 'repairing');
  assert.equal(loaded.state.reason, 'incomplete-records');
});

const arbitraryEvent: fc.Arbitrary<GroupEvent> = fc.oneof(
  fc.record({
    kind: fc.constantFrom('recorded', 'running', 'stopping', 'gone', 'unrecorded' as const),
    member: fc.nat(MEMBERS - 1),
    generation: fc.integer({ min: 5, max: 8 }),
  }) as fc.Arbitrary<GroupEvent>,
  fc.constantFrom<GroupEvent>(
    { kind: 'loaded' },
    { kind: 'end', reason: 'notice' },
    { kind: 'end', reason: 'start-deadline' },
  ),
);

test('for any events, starts need one complete generation, and stops name only members with a place', () => {
  fc.assert(
    fc.property(fc.array(arbitraryEvent, { maxLength: 30 }), (events) => {
      let state = apply(forAll('placed', 7));
      for (const event of events) {
        const before = state;
        const { state: next, stop } = step(state, event);
        for (const { member, generation } of stop) {
          const place = next.places.find(
            (one) => one.member === member && one.generation === generation,
          );
          assert.equal(place?.ending, true);
        }
        if (before.ending && before.places.length > 0) assert.equal(mayStart(next, 7), false);
        if (mayStart(next, 7)) {
          assert.equal(new Set(next.places.map(({ member }) => member)).size, MEMBERS);
          assert.ok(next.places.every((one) => one.generation === 7 && one.stage !== 'reserved'));
        }
        state = next;
      }
    }),
    { seed: 1, numRuns: 2000 },
  );
});
