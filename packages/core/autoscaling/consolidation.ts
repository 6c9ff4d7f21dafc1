import type { Job, MachineType } from '#wire';
import { isUsable } from '../placement/availability.js';
import { addAmounts, Amounts, ROUNDING } from '../model/amounts.js';
import { firmUse, mayRunToEnd } from '../fair-share/best-effort.js';
import { chooseMachine } from '../placement/choose-machine.js';
import { bindingZones, hasCapacity, kindAllowed } from '../placement/bin-packing.js';
import type { FleetState } from '../fleet-state.js';
import { HOLD_HEARTBEATS } from '../preemption/capacity-holds.js';
import type { Assignment, Machine } from '../model/model.js';
import { PlacementCandidates } from '../placement/placement-candidates.js';
import { isPastStartWindow } from '../preemption/start-window.js';
import type { StandingSlot } from './slots.js';

/** No machine that is used more than this is emptied. */
const MOST_USED = 0.5;

/** A replica and the machine that has room for it. */
export interface Move {
  task: Assignment;
  to: Machine;
}

/** A machine that can be given back once its replicas run elsewhere. */
export interface Consolidation {
  machine: Machine;
  moves: Move[];
}

/**
 * The dearest machine, per replica on it, whose replicas all find room beside their image on machines
 * of the same zone that are used more. Such a move takes a stop and a start without a fetch. Without
 * moves, a fleet whose demand falls ends as many machines with one replica each.
 */
export function findConsolidation(
  fleet: FleetState,
  slots: StandingSlot[],
  now: number,
): Consolidation | null {
  const candidates = slots
    .filter((slot) => canBeEmptied(fleet, slot, now))
    .sort((a, b) => pricePerTask(b) - pricePerTask(a) || bestEffortOn(a) - bestEffortOn(b));
  for (const slot of candidates) {
    const moves = findMoves(fleet, slot, slots, now);
    if (moves) return { machine: slot.machine, moves };
  }
  return null;
}

/** Takes the replicas off a machine that is to be given back; the room found for them is held. */
export function startConsolidation(
  fleet: FleetState,
  { machine, moves }: Consolidation,
  now: number,
): void {
  beginScaleIn(fleet, machine, now);
  for (const { task, to } of moves) {
    if (to.capacityHold === null) {
      fleet.holds.hold(to, task.job, now + HOLD_HEARTBEATS * fleet.settings.heartbeatIntervalS);
    }
    fleet.assignments.stopGracefully(task, now);
  }
}

/**
 * Takes nothing more on the machine, so that it is given back once it is empty. Best-effort tasks that
 * are not let end begin anew elsewhere, if there is room, though a job only as often as it has tasks: in
 * a fleet that shrinks they would go from machine to machine and never end.
 */
export function beginScaleIn(fleet: FleetState, machine: Machine, now: number): void {
  fleet.machines.drain(machine);
  let candidates = new PlacementCandidates(fleet, now);
  for (const task of [...machine.tasks.values()]) {
    const { job, stop } = task;
    if (!job.isBestEffort || stop !== null || mayRunToEnd(fleet, task, now)) continue;
    if (job.tasksMoved >= job.spec.tasks) continue;
    if (chooseMachine(fleet, job, bindingZones(job), candidates, now) === null) continue;
    job.tasksMoved++;
    fleet.assignments.stopGracefully(task, now);
    // The rest of a gang that was not started yet is gone at once, and there is room where it was.
    if (job.spec.kind === 'gang') candidates = new PlacementCandidates(fleet, now);
  }
}

function canBeEmptied(fleet: FleetState, slot: StandingSlot, now: number): boolean {
  const { machine, type, used, reservedForGang } = slot;
  if (machine.firmTasks === 0 || load(machine, type) > MOST_USED) return false;
  if (!isUsable(machine, fleet.settings.machineRecordBytes, now)) return false;
  // Room there that others count on is not given up.
  if (reservedForGang !== null || used.cpus > firmUse(machine).cpus + ROUNDING) return false;
  return firmTasksOf(machine).every((task) => isMovable(task, now));
}

function pricePerTask({ machine, type }: StandingSlot): number {
  return type.price / machine.firmTasks;
}

/** Best-effort tasks there, each of which may have to begin anew. */
function bestEffortOn({ machine }: StandingSlot): number {
  return machine.tasks.size - machine.firmTasks;
}

function isMovable({ job, stop, reportedState, runningSince }: Assignment, now: number): boolean {
  const hasStarted = runningSince !== null && isPastStartWindow(runningSince, now);
  // A replica of several members would have to move as a whole.
  const isSingle = job.spec.kind === 'service' && job.replicas === null;
  return isSingle && stop === null && hasStarted && reportedState === 'running';
}

/** A machine for each task of the slot, or null if one finds none. */
function findMoves(
  fleet: FleetState,
  from: StandingSlot,
  slots: StandingSlot[],
  now: number,
): Move[] | null {
  const taken = new Map<StandingSlot, Amounts>();
  const moves: Move[] = [];
  for (const task of firmTasksOf(from.machine)) {
    const { spec } = task.job;
    const target = slots.find(
      (slot) =>
        slot !== from &&
        canReceive(fleet, slot, from, spec, now) &&
        hasCapacity(spec, taken.get(slot) ?? slot.used, slot.type),
    );
    if (!target) return null;
    const used = taken.get(target) ?? { ...target.used };
    addAmounts(used, spec, 1);
    taken.set(target, used);
    moves.push({ task, to: target.machine });
  }
  return moves;
}

/** Whether replicas of the job may move there from the other machine, room apart. */
function canReceive(
  fleet: FleetState,
  { machine, type, reservedForGang }: StandingSlot,
  from: StandingSlot,
  job: Job,
  now: number,
): boolean {
  return (
    reservedForGang === null &&
    machine.zone === from.machine.zone &&
    machine.capacityHold === null &&
    machine.images.has(job.image) &&
    kindAllowed(job, type, machine.zone, machine.spot) &&
    load(machine, type) >= load(from.machine, from.type) &&
    isUsable(machine, fleet.settings.machineRecordBytes, now)
  );
}

function firmTasksOf(machine: Machine): Assignment[] {
  return [...machine.tasks.values()].filter(({ job }) => !job.isBestEffort);
}

/** Share of the machine that firm work uses. */
function load(machine: Machine, type: MachineType): number {
  const used = firmUse(machine);
  return Math.max(
    type.cpus > 0 ? used.cpus / type.cpus : 0,
    type.gpus > 0 ? used.gpus / type.gpus : 0,
  );
}
