/** One request at a time, which the first member accepts, passes to its mates, and answers. */
import type { ReplicaEventList } from './events-of-state.js';
import { MEMBERS, type ModelRequest, type ReplicaModelState } from './state.js';

const ENTRY = 0;

/** Adds the next steps of the request, or the begin of one. */
export function addRequestSteps(list: ReplicaEventList): void {
  const { state } = list;
  const { request } = state;
  if (request === null) {
    addBegin(list);
    return;
  }
  for (let member = 1; member < MEMBERS; member++) {
    if (request.marks[member] !== 0) continue;
    for (const generation of liveGenerations(state, member)) {
      if (generation !== request.generation) continue;
      list.add(`member ${member} marks`, false, (draft) => {
        if (draft.request) draft.request.marks[member] = generation;
      });
    }
  }
  addEnd(list, request);
}

function addBegin(list: ReplicaEventList): void {
  const { state } = list;
  if (state.budget.requests === 0) return;
  for (const generation of liveGenerations(state, ENTRY)) {
    list.add('request', true, (draft) => {
      draft.budget.requests--;
      draft.request = { generation, marks: [generation, ...Array<number>(MEMBERS - 1).fill(0)] };
    });
  }
}

/** The request is given up at any time; it is answered only by the member that took it, with all marks. */
function addEnd(list: ReplicaEventList, { generation, marks }: ModelRequest): void {
  const { state, mistake } = list;
  list.add('request given up', false, (draft) => (draft.request = null));
  if (!liveGenerations(state, ENTRY).includes(generation)) return;
  const isMarked = marks.every((mark) => mark !== 0);
  if (!isMarked && mistake !== 'answers-without-mates') return;
  list.add('request answered', false, (draft) => {
    draft.request = null;
    if (marks.some((mark) => mark !== generation)) draft.brokenAnswer = true;
  });
}

/** Generations of which the member is on a machine that works. */
function liveGenerations({ machines }: ReplicaModelState, member: number): number[] {
  return machines.flatMap(({ task }) => (task?.member === member ? [task.generation] : []));
}
