/**
 * What the scripts of review/4 and later share: a cluster of real controller processes, started with the command of
 * the deploy file, beside the project's own stand-ins in this process; a record of what happened; the exit code.
 */
import { mkdtempSync, rmSync, writeFileSync, appendFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { LoopbackCluster } from '../../target/testing/loopback/sizing/cluster.js';
import { waitUntilAllHealthy } from '../../target/testing/loopback/sizing/full-fleet.js';
import { runCommand } from '../../target/testing/loopback/sizing/sources.js';

export const SOURCES = fileURLToPath(new URL('../..', import.meta.url));
/** Whether the disruption takes place. */
export const TROUBLE = process.env.TROUBLE !== '0';
export const ExitCode = { held: 0, broken: 1, notRun: 2 };
/** A script runs for 120 s at most. */
const LIMIT_MS = 119_000;

/** Settings of "Etiquetas del Plata returns label fleet" in the brief; three controllers. */
export function etiquetasDeployment(changes = {}) {
  return {
    zones: ['barracas', 'pilar', 'rosario'],
    clock_off_ms: 100,
    teams: [{ name: 'mesa-devol', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
    objectives: [
      { kind: 'wait', class: 'ombu-grande', within_s: 15, share: 0.88 },
      { kind: 'finished', class: 'lote-nocturno', within_s: 120, share: 0.82 },
      { kind: 'wait', class: 'refuerzo-chico', within_s: 5, share: 0.92 },
      { kind: 'wait', class: 'afinado-medio', within_s: 12, share: 0.85 },
    ],
    workers: { report_s: 1, lease_s: 10, gang_wait_s: 45, gang_peer_s: 8, cancel_s: 35 },
    state: { rps: 150, write_rps: 50, value_kb: 8, txn_ops: 24 },
    cloud: { rps: 4, list_lag_s: 4 },
    limits: { cpu_share: 0.255, memory_mb: 114, sockets: 700 },
    ...changes,
  };
}

/** Fields of a job of Etiquetas del Plata; the caller adds what differs. */
export function job(fields) {
  return {
    class: 'lote-nocturno',
    team: 'mesa-devol',
    kind: 'array',
    rank: 2,
    tasks: 1,
    cpus: 8,
    gpus: 1,
    memory: 25,
    image: 'img-01',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 50,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    awaits: [],
    ...fields,
  };
}

const startedAt = performance.now();

/** Seconds since the script began. */
export function seconds() {
  return (performance.now() - startedAt) / 1000;
}

/** Writes `record.txt` in the folder of the case, one line for each event. */
export class Record {
  constructor(caseUrl) {
    this.file = path.join(path.dirname(fileURLToPath(caseUrl)), 'record.txt');
    writeFileSync(this.file, `trouble: ${TROUBLE ? 'yes' : 'no'}\n`);
  }

  add(...words) {
    const text = words.map((word) => (typeof word === 'string' ? word : JSON.stringify(word)));
    appendFileSync(this.file, `${seconds().toFixed(3)} ${text.join(' ')}\n`);
  }

  /** Adds an event of a stand-in: what users sent and were answered, and what ran where. */
  observe(event) {
    if (event.kind === 'transaction') return;
    const { kind, ...fields } = event;
    if (kind === 'machine-up') this.add(kind, event.machine.name, event.machine.zone);
    else this.add(kind, fields);
  }
}

/** Makes a cluster of controllers and stand-ins; nothing is started yet. */
export function makeCluster({ controllers = 3, deployment, machines, observe }) {
  process.env.TMPDIR = mkdtempSync(path.join(tmpdir(), 'review-'));
  const folder = process.env.TMPDIR;
  process.once('exit', () => rmSync(folder, { recursive: true, force: true }));
  const command = { directory: SOURCES, command: runCommand(SOURCES, []), logLevel: 'error' };
  return new LoopbackCluster({ shared: { controllers, deployment }, machines, command, observe });
}

/** Starts all controllers and resolves once each of them says that it is healthy. */
export async function startControllers(cluster) {
  for (const controller of cluster.controllers) controller.start();
  await waitUntilAllHealthy(cluster);
}

/** Runs the case and ends this process: 1 if `run` resolves with broken rules, 0 if it resolves with none, else 2. */
export async function main(record, run) {
  const timer = setTimeout(() => {
    record.add('not finished in time');
    process.exit(ExitCode.notRun);
  }, LIMIT_MS);
  try {
    const broken = await run();
    clearTimeout(timer);
    for (const line of broken) record.add('BROKEN:', line);
    record.add(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    process.stdout.write(broken.length > 0 ? `broken: ${broken[0]}\n` : 'held\n');
    process.exit(broken.length > 0 ? ExitCode.broken : ExitCode.held);
  } catch (err) {
    record.add('the case could not run:', err instanceof Error ? (err.stack ?? err.message) : err);
    process.stdout.write(`not run: ${String(err)}\n`);
    process.exit(ExitCode.notRun);
  }
}
