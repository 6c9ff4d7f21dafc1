/** The transition relation of the shard migration model, and its checks. */
import type { Draft } from 'immer';
import { TransitionList } from '../exploration/transition-list.js';
import type { Transition } from '../exploration/explore.js';
import {
  actsAsLeader,
  handleAnswer,
  restartController,
  stepTransferTarget,
  stepLeader,
  applyWatchUpdates,
} from './controller.js';
import type { SeededMigrationFault } from './seeded-faults.js';
import { applyTransaction, endLease } from './service.js';
import {
  type ControllerName,
  CONTROLLERS,
  type ModelController,
  type ModelState,
} from './state.js';

type MigrationTransitionList = TransitionList<ModelState, SeededMigrationFault>;

/** Returns the transitions out of the state. */
export function transitionsFrom(
  state: ModelState,
  seededFault: SeededMigrationFault,
): Transition<ModelState>[] {
  const list: MigrationTransitionList = new TransitionList(state, seededFault);
  for (const name of CONTROLLERS) {
    addRequest(list, name);
    addControllerSteps(list, name);
    addCampaign(list, name);
    addFaults(list, name);
  }
  state.inFlight.forEach((_, index) => {
    addTransactionArrival(list, index);
  });
  for (const leaseId of state.liveLeases) addLeaseEnd(list, leaseId);
  return list.transitions;
}

/** An operator requests the migration of the shard to the controller. */
function addRequest(list: MigrationTransitionList, to: ControllerName): void {
  const { shard, move, budget } = list.state;
  if (budget.requests === 0 || shard === null || move !== null || shard.leader === to) return;
  list.add(`request ${to}`, true, (draft) => {
    draft.budget.requests--;
    const fromTerm = shard.version;
    const record = { fromTerm, target: to, reason: '', phase: 'requested' } as const;
    draft.move = { record, version: ++draft.revision };
  });
}

function addControllerSteps(list: MigrationTransitionList, name: ControllerName): void {
  const { state, seededFault } = list;
  const controller = state.controllers[name];
  if (!isWatchCurrent(controller, state))
    list.add(`${name} sees the records`, false, (draft) => {
      applyWatchUpdates(draft, name);
    });
  if (controller.source.phase === 'pausing' && !controller.paused) {
    list.add(`${name} is paused`, false, (draft) => {
      draft.controllers[name].paused = true;
    });
  }
  if (controller.waiting !== null) return;
  if (controller.term === 0) {
    list.add(`${name} steps as target`, false, (draft) => {
      stepTransferTarget(draft, name, seededFault);
    });
    return;
  }
  for (const late of [false, true]) {
    const when = late ? 'late' : 'in time';
    list.add(`${name} steps as leader ${when}`, false, (draft) => {
      stepLeader(draft, name, late, seededFault);
    });
  }
}

/** Whether the controller has seen the current records of the state service. */
function isWatchCurrent({ shard, move }: ModelController, state: ModelState): boolean {
  return shard?.version === state.shard?.version && move?.version === state.move?.version;
}

/** A controller that sees that the shard has no leader may campaign. */
function addCampaign(list: MigrationTransitionList, name: ControllerName): void {
  const { shard, controllers, liveLeases } = list.state;
  const { leaseId, leaseProven, shard: seenShard } = controllers[name];
  if (shard !== null || seenShard !== null || !leaseProven || !liveLeases.includes(leaseId)) return;
  list.add(`${name} wins a campaign`, false, (draft) => {
    draft.shard = { leader: name, leaseId, version: ++draft.revision };
    applyWatchUpdates(draft, name);
  });
}

function addFaults(list: MigrationTransitionList, name: ControllerName): void {
  const { budget, controllers, liveLeases } = list.state;
  const { leaseProven, leaseId, waiting } = controllers[name];
  if (budget.crashes > 0) {
    list.add(`${name} crashes`, true, (draft) => {
      draft.budget.crashes--;
      restartController(draft, name);
    });
  }
  if (budget.lapses > 0 && leaseProven) {
    list.add(`${name} is not served`, true, (draft) => {
      draft.budget.lapses--;
      draft.controllers[name].leaseProven = false;
    });
  }
  if (!leaseProven) {
    list.add(`${name} is served again`, false, (draft) => {
      if (!liveLeases.includes(leaseId)) replaceLease(draft, name);
      draft.controllers[name].leaseProven = true;
    });
  }
  if (waiting !== null && budget.lostAnswers > 0) {
    list.add(`${name} gets no answer`, true, (draft) => {
      draft.budget.lostAnswers--;
      handleAnswer(draft, name, { kind: 'unknown' }, list.seededFault);
    });
  }
}

/** Replaces an election lease that has ended by a new one. */
function replaceLease(draft: Draft<ModelState>, name: ControllerName): void {
  const controller = draft.controllers[name];
  controller.leaseId = draft.nextLeaseId++;
  draft.liveLeases.push(controller.leaseId);
  applyWatchUpdates(draft, name);
}

/** The state service carries a transaction out; the sender gets the answer if it still waits for it. */
function addTransactionArrival(list: MigrationTransitionList, index: number): void {
  const { from, incarnation, transaction } = list.state.inFlight[index];
  const sender = list.state.controllers[from];
  // A sender can only wait for the answer to its newest transaction.
  const isNewest = !list.state.inFlight.slice(index + 1).some((each) => each.from === from);
  const isExpected = sender.incarnation === incarnation && sender.waiting !== null && isNewest;
  list.add(`transaction of ${from} arrives`, !isExpected, (draft) => {
    draft.inFlight.splice(index, 1);
    const outcome = applyTransaction(draft, transaction);
    if (isExpected) handleAnswer(draft, from, outcome, list.seededFault);
  });
}

/** An election lease ends. Leases that their controller takes as proven cannot end. */
function addLeaseEnd(list: MigrationTransitionList, leaseId: number): void {
  const isTrusted = CONTROLLERS.some((name) => {
    const controller = list.state.controllers[name];
    return controller.leaseId === leaseId && controller.leaseProven;
  });
  if (!isTrusted)
    list.add(`lease ${leaseId} ends`, false, (draft) => {
      endLease(draft, leaseId);
    });
}

/** Controllers that act as leader although, by the state service, another controller leads, or none. */
export function staleLeaders(
  state: ModelState,
  seededFault: SeededMigrationFault,
): ControllerName[] {
  return CONTROLLERS.filter((name) => {
    const controller = state.controllers[name];
    return actsAsLeader(controller, seededFault) && state.shard?.version !== controller.term;
  });
}

/** Whether a leader makes decisions and no migration is in progress. */
export function isQuiescent(
  { controllers, move }: ModelState,
  seededFault: SeededMigrationFault,
): boolean {
  const leaders = CONTROLLERS.map((name) => controllers[name]);
  const decides = leaders.some(
    (leader) => actsAsLeader(leader, seededFault) && leader.source.phase === 'deciding',
  );
  return decides && move === null;
}
