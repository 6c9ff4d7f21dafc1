/**
 * Runs replicas of several members under request traffic with real controllers on the loopback. Machines are killed,
 * frozen and cut off at random, some of them together with a controller. The exit code is 1 if a request was answered
 * wrongly or a rule was violated.
 */
import { Command, Option } from 'commander';
import { distributionRow, DISTRIBUTION_COLUMNS } from './distribution.js';
import { textTable } from './text-table.js';
import { describeAnswer } from '../simulation/replica-traffic/answers.js';
import {
  type ReplicaMode,
  type ReplicaRunOptions,
  type ReplicaRunResult,
  runReplicaGroups,
} from '../loopback/replica-groups/loopback-run.js';
import { readOptions } from '../loopback/sizing/options.js';

const MAX_SHOWN = 5;

interface Arguments {
  mode: ReplicaMode;
  faults: string;
  controllerEvery: string;
  machines: string;
  replicas: string;
  controllers: string;
  reportS: string;
  leaseS: string;
}

function formatResult({ broken, violations, repairs, ...counts }: ReplicaRunResult): string {
  const rows = [false, true].flatMap((withController) => {
    const own = repairs.filter((each) => each.withController === withController);
    const name = withController ? 'with a failing controller' : 'machines only';
    const ms = (seconds: number) => seconds * 1000;
    return [
      distributionRow(
        `last answer, ${name}`,
        own.map((each) => ms(each.lastAnswerAfterS)),
      ),
      distributionRow(
        `whole again, ${name}`,
        own.map((each) => ms(each.wholeAfterS)),
      ),
    ];
  });
  const summary = { ...counts, broken: broken.length, violations: violations.length };
  const shown = [
    ...broken.slice(0, MAX_SHOWN).map(describeAnswer),
    ...violations.slice(0, MAX_SHOWN).map((each) => JSON.stringify(each)),
  ];
  return [textTable(DISTRIBUTION_COLUMNS, rows), JSON.stringify(summary), ...shown, ''].join('\n');
}

const MODES: ReplicaMode[] = ['groups', 'unfenced', 'single-tasks'];

function readArguments(args: string[]): ReplicaRunOptions {
  const program = new Command('replica-groups')
    .addOption(
      new Option('--mode <mode>', 'how the members of a replica are managed')
        .choices(MODES)
        .default('groups'),
    )
    .option('--faults <number>', 'number of machine failures, one after the other', '100')
    .option(
      '--controller-every <number>',
      'every n-th fault also hits a controller; 0: no controller fails',
      '5',
    )
    .option('--machines <number>', 'machines, each of which sends heartbeats', '40')
    .option('--replicas <number>', 'number of replicas of three members', '24')
    .option('--controllers <number>', 'number of controllers', '3')
    .option('--report-s <seconds>', "workers' heartbeat interval", '0.5')
    .option('--lease-s <seconds>', "workers' lease", '5')
    .parse(args, { from: 'user' });
  const { mode, faults, controllerEvery, replicas, ...cluster } = program.opts<Arguments>();
  const sizing = readOptions([
    ...['--machines', cluster.machines, '--controllers', cluster.controllers],
    ...['--report-s', cluster.reportS, '--lease-s', cluster.leaseS],
  ]);
  return {
    sizing,
    mode,
    replicas: Number(replicas),
    faults: Number(faults),
    controllerEvery: Number(controllerEvery),
  };
}

/** Injects the faults that the arguments ask for. Resolves with the exit code: 1 if a rule was violated. */
export async function run(args: string[]): Promise<number> {
  const result = await runReplicaGroups(readArguments(args), (done) => {
    if (done % 10 === 0) process.stderr.write(`${done} faults\n`);
  });
  process.stdout.write(formatResult(result));
  return result.broken.length + result.violations.length > 0 ? 1 : 0;
}
