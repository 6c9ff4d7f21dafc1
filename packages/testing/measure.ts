/** One command for all measurements: `node target/testing/measure.js NAME`; `--help` lists the names. */
import { CommanderError } from 'commander';

/** A measurement, whose module is loaded only when it runs. */
interface Measurement {
  description: string;
  load: () => Promise<{
    /** Runs the measurement and prints the results; resolves with the exit code. */
    run: (args: string[]) => Promise<number>;
  }>;
}

const MEASUREMENTS: Record<string, Measurement> = {
  sizing: {
    description: 'real controllers on the loopback: start, leader, follower, failover, causes',
    load: () => import('./measurement/sizing-measurement.js'),
  },
  scale: {
    description: 'rounds, plans, heartbeats and records in memory; run with node --expose-gc',
    load: () => import('./measurement/scale-measurement.js'),
  },
  leader: {
    description: 'processor time that a leader uses, with a number of MACHINES',
    load: () => import('./measurement/leader-measurement.js'),
  },
  costs: {
    description: 'requests, records, frames, timers and connections of a quiet simulated cluster',
    load: () => import('./measurement/costs-measurement.js'),
  },
  simulation: {
    description: 'how fast the simulated cluster runs',
    load: () => import('./measurement/simulation-measurement.js'),
  },
  'replica-groups': {
    description: 'replicas of several members whose machines and controllers fail, on the loopback',
    load: () => import('./measurement/replica-groups-measurement.js'),
  },
  'shard-migrations': {
    description: 'migrations of the shard between real controllers, with faults, on the loopback',
    load: () => import('./measurement/shard-migrations-measurement.js'),
  },
};

const ExitCode = { done: 0, badArguments: 2 } as const;

function usage(): string {
  const width = Math.max(...Object.keys(MEASUREMENTS).map((name) => name.length));
  const lines = Object.entries(MEASUREMENTS).map(
    ([name, { description }]) => `  ${name.padEnd(width)}  ${description}`,
  );
  const head =
    'Usage: node target/testing/measure.js NAME [ARGUMENTS], NAME --help for its options';
  return [head, '', ...lines, ''].join('\n');
}

/** Resolves with the exit code. */
async function main([name, ...args]: string[]): Promise<number> {
  if (name === '--help' || name === '-h') {
    process.stdout.write(usage());
    return ExitCode.done;
  }
  const measurement = Object.hasOwn(MEASUREMENTS, name ?? '') ? MEASUREMENTS[name] : undefined;
  if (!measurement) {
    process.stderr.write(name ? `no measurement ${name}\n${usage()}` : usage());
    return ExitCode.badArguments;
  }
  try {
    const { run } = await measurement.load();
    return await run(args);
  } catch (err) {
    // Commander has already printed the error message or the help text.
    if (err instanceof CommanderError) return err.exitCode;
    throw err;
  }
}

// Exits explicitly, because stand-ins may leave pending timers.
process.exit(await main(process.argv.slice(2)));
