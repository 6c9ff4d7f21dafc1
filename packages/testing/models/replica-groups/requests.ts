/** Transitions of a user request: the entry member accepts it, passes it to the other members, and answers it. */
import type { ReplicaTransitionList } from './replica-transition-list.js';
import { MEMBERS, type ModelRequest, type ReplicaModelState } from './state.js';

const ENTRY_MEMBER = 0;

/** Adds the next transitions of the request in flight, or the start of one. At most one request is in flight. */
export function addRequestTransitions(list: ReplicaTransitionList): void {
  const { state } = list;
  const { request } = state;
  if (request === null) {
    addRequestStart(list);
    return;
  }
  for (let member = 1; member < MEMBERS; member++) {
    if (request.marks[member] !== 0) continue;
    for (const generation of runningGenerations(state, member)) {
      if (generation !== request.generation) continue;
      list.add(`member ${member} marks`, false, (draft) => {
        if (draft.request) draft.request.marks[member] = generation;
      });
    }
  }
  addRequestEnd(list, request);
}

function addRequestStart(list: ReplicaTransitionList): void {
  const { state } = list;
  if (state.budget.requests === 0) return;
  for (const generation of runningGenerations(state, ENTRY_MEMBER)) {
    list.add('request', true, (draft) => {
      draft.budget.requests--;
      draft.request = { generation, marks: [generation, ...Array<number>(MEMBERS - 1).fill(0)] };
    });
  }
}

/**
 * Adds the transitions that end a request. A request can end without an answer at any time. The member that accepted
 * the request answers it once all members have marked it.
 */
function addRequestEnd(list: ReplicaTransitionList, { generation, marks }: ModelRequest): void {
  const { state, seededFault } = list;
  list.add('request given up', false, (draft) => (draft.request = null));
  if (!runningGenerations(state, ENTRY_MEMBER).includes(generation)) return;
  const isMarkedByAll = marks.every((mark) => mark !== 0);
  if (!isMarkedByAll && seededFault !== 'answers-without-mates') return;
  list.add('request answered', false, (draft) => {
    draft.request = null;
    if (marks.some((mark) => mark !== generation)) draft.hasBrokenAnswer = true;
  });
}

/** Generations of which this member has a task on a machine. */
function runningGenerations({ machines }: ReplicaModelState, member: number): number[] {
  return machines.flatMap(({ task }) => (task?.member === member ? [task.generation] : []));
}
