/** Scenarios made up by chance, to hunt for meetings that nobody has thought of. */
import type { Chance } from '../random.js';
import { USUAL_CLASSES } from '../stand-ins/index.js';
import type { ClusterSettings } from './cluster-settings.js';
import type {
  ControllerTarget,
  CutFrom,
  CutMode,
  Fault,
  MachineTarget,
  Scenario,
} from './scenario.js';

/** Faults begin after the fleet has come up and end well before the scenario does. */
const FIRST_FAULT_S = 60;
const QUIET_END_S = 120;
/** Faults come in clusters within so many seconds, so that they meet. */
const CLUSTER_SPAN_S = 20;
const FAULTS_IN_CLUSTER: [number, number] = [2, 4];
const CLUSTER_PERIOD_S: [number, number] = [50, 90];

type MakeFault = (chance: Chance, atS: number) => Fault;

/**
 * Draws the faults of a scenario of that length.
 *
 * @public For hunts (docs/simulation.md).
 */
export function randomScenario(
  chance: Chance,
  cluster: ClusterSettings,
  lengthS: number,
): Scenario {
  const faults: Fault[] = [];
  const lastS = lengthS - QUIET_END_S - CLUSTER_SPAN_S;
  let clusterS = FIRST_FAULT_S;
  while (clusterS < lastS) {
    const count = chance.int(...FAULTS_IN_CLUSTER);
    for (let i = 0; i < count; i++) {
      const make = pick(chance, MAKERS);
      faults.push(make(chance, clusterS + span(chance, [0, CLUSTER_SPAN_S])));
    }
    clusterS += span(chance, CLUSTER_PERIOD_S);
  }
  faults.sort((first, second) => first.atS - second.atS);
  const workload = { classes: USUAL_CLASSES, untilS: lengthS - QUIET_END_S / 2 };
  return { name: 'random', cluster, workload, faults, lengthS };
}

const MAKERS: MakeFault[] = [
  (chance, atS) => ({ kind: 'state-outage', atS, forS: span(chance, [3, 60]) }),
  (chance, atS) => ({ kind: 'state-refuses', atS, forS: short(chance), controllers: whom(chance) }),
  (chance, atS) => ({ kind: 'state-slow', atS, forS: short(chance), latencyMs: [50, 1500] }),
  (chance, atS) => ({ kind: 'late-writes', atS, forS: short(chance), share: part(chance) }),
  (chance, atS) => ({ kind: 'lost-answers', atS, forS: short(chance), share: part(chance) }),
  (chance, atS) => ({ kind: 'quick-boots', atS, forS: short(chance) }),
  (chance, atS) => ({ kind: 'late-rentals', atS, forS: short(chance), share: part(chance) }),
  drawControllerCut,
  drawControllerCut,
  (chance, atS) => ({ kind: 'peers-cut', atS, forS: short(chance), mode: mode(chance) }),
  drawCrash,
  drawCrash,
  (chance, atS) => ({
    kind: 'controller-freeze',
    atS,
    forS: span(chance, [1, 15]),
    controllers: whom(chance),
  }),
  (chance, atS) => ({
    kind: 'controller-roll',
    atS,
    downS: span(chance, [0.2, 4]),
    intervalS: span(chance, [0.5, 6]),
  }),
  (chance, atS) => ({ kind: 'machine-death', atS, machines: some(chance) }),
  (chance, atS) => ({ kind: 'machine-hang', atS, forS: short(chance), machines: some(chance) }),
  (chance, atS) => ({
    kind: 'machine-cut',
    atS,
    forS: short(chance),
    machines: some(chance),
    mode: mode(chance),
  }),
  (chance, atS) => ({ kind: 'machine-deaf', atS, forS: short(chance), machines: some(chance) }),
  (chance, atS) => ({
    kind: 'machine-mute',
    atS,
    forS: short(chance),
    machines: some(chance),
    mode: mode(chance),
  }),
  (chance, atS) => ({
    kind: 'zone-cut',
    atS,
    forS: short(chance),
    zone: pick(chance, ['a', 'b', 'c']),
    mode: mode(chance),
  }),
  (chance, atS) => ({
    kind: 'late-reports',
    atS,
    forS: short(chance),
    share: part(chance),
    forNextLeader: chance.hit(0.5),
  }),
  (chance, atS) => ({ kind: 'late-commands', atS, forS: short(chance), share: part(chance) }),
  drawCancelNow,
  drawCancelNow,
  (chance, atS) => ({ kind: 'cancel-at-end', atS, forS: short(chance), share: part(chance) }),
  (chance, atS) => ({ kind: 'odd-requests', atS, forS: short(chance) }),
  (chance, atS) => ({ kind: 'close-looks', atS, forS: short(chance) }),
];

function drawControllerCut(chance: Chance, atS: number): Fault {
  const kinds: CutFrom[] = ['state', 'controllers', 'workers', 'users', 'cloud'];
  const from = kinds.filter(() => chance.hit(0.4));
  if (from.length === 0) from.push('state');
  const controllers = whom(chance);
  return {
    kind: 'controller-cut',
    atS,
    forS: short(chance),
    controllers,
    from,
    mode: mode(chance),
  };
}

function drawCrash(chance: Chance, atS: number): Fault {
  const downS = chance.hit(0.5) ? span(chance, [0.05, 1]) : span(chance, [1, 15]);
  const controllers = whom(chance);
  return { kind: 'controller-crash', atS, controllers, downS, silent: chance.hit(0.3) };
}

function drawCancelNow(chance: Chance, atS: number): Fault {
  const hangS = chance.hit(0.4) ? { hangS: span(chance, [5, 30]) } : {};
  return { kind: 'cancel-now', atS, count: chance.int(2, 12), ...hangS };
}

function whom(chance: Chance): ControllerTarget {
  return pick<ControllerTarget>(chance, ['leader', 'leader', 'followers', 'one-follower', 'all']);
}

function some(chance: Chance): MachineTarget {
  return { share: span(chance, [0.1, 0.7]) };
}

function mode(chance: Chance): CutMode {
  return pick<CutMode>(chance, ['refuse', 'hold', 'drop']);
}

/** From a few seconds to beyond a lease, seldom beyond what a cancellation has. */
function short(chance: Chance): number {
  return span(chance, chance.hit(0.2) ? [20, 60] : [2, 20]);
}

function part(chance: Chance): number {
  return span(chance, [0.05, 0.6]);
}

function span(chance: Chance, [least, most]: [number, number]): number {
  return Math.round((least + (most - least) * chance.next()) * 100) / 100;
}

function pick<T>(chance: Chance, items: T[]): T {
  return items[chance.int(0, items.length - 1)];
}
