/** Random scenarios, to search for combinations of faults that no test lists. */
import type { SeededRandom } from '../random.js';
import { DEFAULT_CLASSES } from '../stand-ins/index.js';
import type { ClusterSettings } from './cluster-settings.js';
import type {
  ControllerTarget,
  CutFrom,
  CutMode,
  Fault,
  MachineTarget,
  Scenario,
} from './scenario.js';

/** Faults begin after the fleet is up, and early enough to end well before the scenario does. */
const FIRST_FAULT_S = 60;
const LAST_FAULT_BEFORE_END_S = 120;
/** Faults come in bursts, so that faults overlap: all faults of a burst begin within this time. */
const BURST_SPAN_S = 20;
const FAULTS_PER_BURST: [number, number] = [2, 4];
const BURST_INTERVAL_S: [number, number] = [50, 90];

type ShareFaultKind =
  | 'late-writes'
  | 'repeated-writes'
  | 'lost-answers'
  | 'late-rentals'
  | 'repeated-rentals'
  | 'late-commands'
  | 'repeated-commands'
  | 'cancel-at-end';
type FaultGenerator = (chance: SeededRandom, atS: number) => Fault;

/**
 * Draws the faults of a scenario of the given length.
 *
 * @public For random searches for faults (docs/simulation.md).
 */
export function randomScenario(
  chance: SeededRandom,
  cluster: ClusterSettings,
  lengthS: number,
): Scenario {
  const faults: Fault[] = [];
  const lastBurstS = lengthS - LAST_FAULT_BEFORE_END_S - BURST_SPAN_S;
  let burstS = FIRST_FAULT_S;
  while (burstS < lastBurstS) {
    const count = chance.int(...FAULTS_PER_BURST);
    for (let i = 0; i < count; i++) {
      const generate = pick(chance, FAULT_GENERATORS);
      faults.push(generate(chance, burstS + drawUniform(chance, [0, BURST_SPAN_S])));
    }
    burstS += drawUniform(chance, BURST_INTERVAL_S);
  }
  faults.sort((first, second) => first.atS - second.atS);
  const workload = { classes: DEFAULT_CLASSES, untilS: lengthS - LAST_FAULT_BEFORE_END_S / 2 };
  return { name: 'random', cluster, workload, faults, lengthS };
}

const FAULT_GENERATORS: FaultGenerator[] = [
  (chance, atS) => ({ kind: 'state-outage', atS, forS: drawUniform(chance, [3, 60]) }),
  (chance, atS) => ({
    kind: 'state-refuses',
    atS,
    forS: drawLengthS(chance),
    controllers: drawControllers(chance),
  }),
  (chance, atS) => ({ kind: 'state-slow', atS, forS: drawLengthS(chance), latencyMs: [50, 1500] }),
  faultOfShare('late-writes'),
  faultOfShare('lost-answers'),
  (chance, atS) => ({ kind: 'quick-boots', atS, forS: drawLengthS(chance) }),
  faultOfShare('late-rentals'),
  drawControllerCut,
  drawControllerCut,
  (chance, atS) => ({ kind: 'peers-cut', atS, forS: drawLengthS(chance), mode: drawMode(chance) }),
  drawCrash,
  drawCrash,
  (chance, atS) => ({
    kind: 'controller-freeze',
    atS,
    forS: drawUniform(chance, [1, 15]),
    controllers: drawControllers(chance),
  }),
  (chance, atS) => ({
    kind: 'controller-roll',
    atS,
    downS: drawUniform(chance, [0.2, 4]),
    intervalS: drawUniform(chance, [0.5, 6]),
  }),
  (chance, atS) => ({ kind: 'machine-death', atS, machines: drawMachines(chance) }),
  (chance, atS) => ({
    kind: 'machine-hang',
    atS,
    forS: drawLengthS(chance),
    machines: drawMachines(chance),
  }),
  (chance, atS) => ({
    kind: 'machine-cut',
    atS,
    forS: drawLengthS(chance),
    machines: drawMachines(chance),
    mode: drawMode(chance),
  }),
  (chance, atS) => ({
    kind: 'machine-deaf',
    atS,
    forS: drawLengthS(chance),
    machines: drawMachines(chance),
  }),
  (chance, atS) => ({
    kind: 'machine-mute',
    atS,
    forS: drawLengthS(chance),
    machines: drawMachines(chance),
    mode: drawMode(chance),
  }),
  (chance, atS) => ({
    kind: 'zone-cut',
    atS,
    forS: drawLengthS(chance),
    zone: pick(chance, ['a', 'b', 'c']),
    mode: drawMode(chance),
  }),
  (chance, atS) => ({
    kind: 'late-reports',
    atS,
    forS: drawLengthS(chance),
    share: drawShare(chance),
    forNextLeader: chance.withProbability(0.5),
  }),
  faultOfShare('late-commands'),
  faultOfShare('repeated-commands'),
  faultOfShare('repeated-writes'),
  faultOfShare('repeated-rentals'),
  drawCancelNow,
  drawCancelNow,
  faultOfShare('cancel-at-end'),
  (chance, atS) => ({ kind: 'odd-requests', atS, forS: drawLengthS(chance) }),
  (chance, atS) => ({ kind: 'close-looks', atS, forS: drawLengthS(chance) }),
];

/** A generator of faults that hit a share of all requests or jobs. */
function faultOfShare(kind: ShareFaultKind): FaultGenerator {
  return (chance, atS) => {
    const forS = drawLengthS(chance);
    return { kind, atS, forS, share: drawShare(chance) };
  };
}

function drawControllerCut(chance: SeededRandom, atS: number): Fault {
  const kinds: CutFrom[] = ['state', 'controllers', 'workers', 'users', 'cloud'];
  const from = kinds.filter(() => chance.withProbability(0.4));
  if (from.length === 0) from.push('state');
  const controllers = drawControllers(chance);
  return {
    kind: 'controller-cut',
    atS,
    forS: drawLengthS(chance),
    controllers,
    from,
    mode: drawMode(chance),
  };
}

function drawCrash(chance: SeededRandom, atS: number): Fault {
  const downS = chance.withProbability(0.5)
    ? drawUniform(chance, [0.05, 1])
    : drawUniform(chance, [1, 15]);
  const controllers = drawControllers(chance);
  return { kind: 'controller-crash', atS, controllers, downS, silent: chance.withProbability(0.3) };
}

function drawCancelNow(chance: SeededRandom, atS: number): Fault {
  const hangS = chance.withProbability(0.4) ? { hangS: drawUniform(chance, [5, 30]) } : {};
  return { kind: 'cancel-now', atS, count: chance.int(2, 12), ...hangS };
}

function drawControllers(chance: SeededRandom): ControllerTarget {
  return pick<ControllerTarget>(chance, ['leader', 'leader', 'followers', 'one-follower', 'all']);
}

function drawMachines(chance: SeededRandom): MachineTarget {
  return { share: drawUniform(chance, [0.1, 0.7]) };
}

function drawMode(chance: SeededRandom): CutMode {
  return pick<CutMode>(chance, ['refuse', 'hold', 'drop']);
}

/** Draws a duration from 2 s to longer than a lease; seldom longer than the time limit of a cancellation. */
function drawLengthS(chance: SeededRandom): number {
  return drawUniform(chance, chance.withProbability(0.2) ? [20, 60] : [2, 20]);
}

function drawShare(chance: SeededRandom): number {
  return drawUniform(chance, [0.05, 0.6]);
}

function drawUniform(chance: SeededRandom, [least, most]: [number, number]): number {
  return Math.round((least + (most - least) * chance.next()) * 100) / 100;
}

function pick<T>(chance: SeededRandom, items: T[]): T {
  return items[chance.int(0, items.length - 1)];
}
