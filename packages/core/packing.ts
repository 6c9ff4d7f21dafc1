import type { MachineType } from '#wire';
import type { FleetState } from './fleet-state.js';
import type { Amounts } from './fairshare.js';
import type { Assignment, Machine } from './model.js';
import { hasRoom, SETTLED_S, typeFits, usable } from './placement.js';

/** A machine that can be given back once its replicas run elsewhere. */
export interface Emptying {
  machine: Machine;
  moves: { task: Assignment; to: Machine }[];
}

/** Room on a machine, less what waiting work and the reserve will take of it. */
export interface Room {
  machine: Machine | null;
  type: MachineType;
  used: Amounts;
  reservedFor: string | null;
}

/** No machine that is used more than this is emptied. */
const MOST_USED = 0.5;

/**
 * The dearest machine, per replica on it, whose replicas all find room beside their image on machines
 * of the same zone that are used more. Such a move takes a stop and a start without a fetch. Without
 * moves, a fleet whose demand falls ends as many machines with one replica each.
 */
export function machineToEmpty(book: FleetState, rooms: Room[], now: number): Emptying | null {
  const candidates: { room: Room; machine: Machine; cost: number }[] = [];
  for (const room of rooms) {
    const { machine } = room;
    if (!machine || !usable(book, machine, now) || machine.tasks.size === 0) continue;
    // Room there that others count on is not given up.
    if (room.reservedFor !== null || room.used.cpus > machine.used.cpus) continue;
    if (load(machine, room.type) > MOST_USED) continue;
    if (![...machine.tasks.values()].every((a) => movable(a, now))) continue;
    candidates.push({ room, machine, cost: room.type.price / machine.tasks.size });
  }
  candidates.sort((a, b) => b.cost - a.cost);
  for (const { room, machine } of candidates) {
    const moves = findMoves(book, room, machine, rooms, now);
    if (moves) return { machine, moves };
  }
  return null;
}

function movable(a: Assignment, now: number): boolean {
  const settled = a.runningSince !== null && now - a.runningSince >= SETTLED_S;
  return a.job.job.kind === 'service' && a.stop === null && settled && a.reported === 'running';
}

function findMoves(
  book: FleetState,
  from: Room,
  machine: Machine,
  rooms: Room[],
  now: number,
): Emptying['moves'] | null {
  const taken = new Map<Room, Amounts>();
  const moves: Emptying['moves'] = [];
  for (const task of machine.tasks.values()) {
    const { job } = task.job;
    const target = rooms.find((room) => {
      const to = room.machine;
      return (
        to !== null &&
        room !== from &&
        room.reservedFor === null &&
        to.zone === machine.zone &&
        (!to.spot || job.spot) &&
        to.heldFor === null &&
        to.images.has(job.image) &&
        load(to, room.type) >= load(machine, from.type) &&
        usable(book, to, now) &&
        typeFits(job, room.type) &&
        hasRoom(job, { used: taken.get(room) ?? room.used }, room.type)
      );
    });
    if (!target) return null;
    const used = taken.get(target) ?? { ...target.used };
    used.cpus += job.cpus;
    used.gpus += job.gpus;
    used.memory += job.memory;
    taken.set(target, used);
    moves.push({ task, to: target.machine! });
  }
  return moves;
}

function load(machine: Machine, type: MachineType): number {
  const { used } = machine;
  return Math.max(
    type.cpus > 0 ? used.cpus / type.cpus : 0,
    type.gpus > 0 ? used.gpus / type.gpus : 0,
  );
}
