/**
 * Gangs whose tasks must not all be in one zone come several times as often for a few seconds. Afterwards no job may be
 * left waiting for 90 s while machines that fit have room.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  etiquetasDeployment,
  job,
  main,
  makeCluster,
  Record,
  seconds,
  startControllers,
  TROUBLE,
} from '../lib-2/case.mjs';

const MACHINES = 6;
const GPUS_PER_MACHINE = 8;
const CPUS_PER_MACHINE = 96;
const GANGS = 6;
const TASKS_PER_GANG = 2;
const GANG_TASK = { cpus: 40, gpus: 3, memory: 100 };
/** Ten gangs a minute; with the disruption four times as many. */
const USUAL_GAP_S = 6;
const SURGE_GAP_S = 1.5;
/** A batch that fills all machines when the gangs begin to come, and its run time. */
const BATCH_TASK = { cpus: 86, gpus: 8, memory: 310 };
const BATCH_RUN_S = 10;
const REPLICA_AFTER_S = 2;
/** The limit of the rule. */
const MAX_WAIT_S = 90;
const RUN_S = 600;

const record = new Record(import.meta.url);
/** Zone, and GPUs and CPUs in use, by machine. */
const machines = new Map();
const jobs = new Map();
/** Jobs of which a task has been on a machine. */
const begun = new Set();
const accepted = new Set();

function place({ machine, task }, sign) {
  const { cpus, gpus } = jobs.get(task.job);
  const used = machines.get(machine);
  if (used !== undefined) {
    used.gpus += sign * gpus;
    used.cpus += sign * cpus;
  }
  begun.add(task.job);
}

function observe(event) {
  record.observe(event);
  const { kind, machine } = event;
  if (kind === 'machine-up') machines.set(machine.name, { zone: machine.zone, gpus: 0, cpus: 0 });
  else if (kind === 'machine-gone') machines.delete(machine);
  else if (kind === 'task-assigned') place(event, 1);
  else if (kind === 'task-left') place(event, -1);
  else if (kind === 'answered' && event.request.kind === 'submit' && event.status < 300)
    accepted.add(event.request.job);
}

/** How many tasks of the job there is room for on the machines of each zone. */
function roomByZone({ cpus, gpus }) {
  const room = new Map();
  for (const machine of machines.values()) {
    const byGpus = Math.floor((GPUS_PER_MACHINE - machine.gpus) / gpus);
    const byCpus = Math.floor((CPUS_PER_MACHINE - machine.cpus) / cpus);
    room.set(machine.zone, (room.get(machine.zone) ?? 0) + Math.min(byGpus, byCpus));
  }
  return [...room.values()];
}

/** Whether all tasks of the job could be started now: of a gang at most half in one zone. */
function hasRoom(each) {
  const mostInZone = each.spread ? Math.ceil(each.tasks / 2) : each.tasks;
  const places = roomByZone(each).reduce((sum, room) => sum + Math.min(room, mostInZone), 0);
  return places >= each.tasks;
}

function submit(cluster, fields, runS = [RUN_S]) {
  const each = job({ id: cluster.newJobId(), ...fields });
  jobs.set(each.id, each);
  const program = { job: each, runS, failsAfterS: null };
  cluster.users.submit({ program, submitAtS: 0, cancelAfterS: null, repeatAfterS: null });
}

function submitGang(cluster) {
  const kind = {
    class: 'afinado-medio',
    kind: 'gang',
    rank: 1,
    tasks: TASKS_PER_GANG,
    spread: true,
  };
  submit(cluster, { ...kind, ...GANG_TASK, estimateS: RUN_S, image: 'img-tune' });
}

function submitBatch(cluster) {
  const runS = Array(MACHINES).fill(BATCH_RUN_S);
  const size = { tasks: MACHINES, estimateS: BATCH_RUN_S };
  submit(cluster, { ...size, ...BATCH_TASK, image: 'img-batch' }, runS);
}

/** A service of one small replica, of the most urgent rank. */
function submitReplica(cluster) {
  const kind = { class: 'refuerzo-chico', kind: 'service', rank: 0, estimateS: 0 };
  submit(cluster, { ...kind, image: 'img-replica' });
}

/** Resolves once all machines run a task of the batch. */
async function batchRuns() {
  while ([...machines.values()].filter(({ gpus }) => gpus > 0).length < MACHINES) await sleep(100);
}

/** Watches until all jobs have begun or one has waited for too long although there was room all the time. */
async function watch() {
  const waitedSince = new Map();
  for (;;) {
    const waiting = [...jobs.values()].filter(({ id }) => accepted.has(id) && !begun.has(id));
    if (waiting.length === 0 && accepted.size === jobs.size) return [];
    const inNeed = waiting.filter(hasRoom);
    for (const id of waitedSince.keys()) {
      if (!inNeed.some((each) => each.id === id)) waitedSince.delete(id);
    }
    for (const { id } of inNeed) if (!waitedSince.has(id)) waitedSince.set(id, seconds());
    const late = inNeed.filter(({ id }) => seconds() - waitedSince.get(id) > MAX_WAIT_S);
    if (late.length > 0) return late.map(describe);
    await sleep(500);
  }
}

function describe({ id, kind }) {
  const idle = [...machines.values()].filter(({ gpus }) => gpus === 0).length;
  return (
    `${id} (${kind}) has had no task on any machine for over ${MAX_WAIT_S} s, ` +
    `although there was room all the time; ${idle} of ${machines.size} machines are empty`
  );
}

await main(record, async () => {
  const cluster = makeCluster({ deployment: etiquetasDeployment(), machines: MACHINES, observe });
  await cluster.listen();
  await startControllers(cluster);
  record.add('all controllers are healthy');
  submitBatch(cluster);
  await batchRuns();
  record.add('the batch runs on all machines');
  for (let i = 0; i < GANGS; i++) {
    submitGang(cluster);
    await sleep((TROUBLE ? SURGE_GAP_S : USUAL_GAP_S) * 1000);
  }
  await sleep(REPLICA_AFTER_S * 1000);
  submitReplica(cluster);
  await sleep(1000);
  record.add('the surge is over');
  const broken = await watch();
  await cluster.close();
  return broken;
});
