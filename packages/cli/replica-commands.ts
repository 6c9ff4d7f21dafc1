/** The command `replicas`. */
import type { Command } from 'commander';
import { parseControllerAddress } from './arguments.js';
import { CommandError, ExitCode } from './command-error.js';
import { formatExamples } from './help.js';
import type { Output } from './output.js';

const REQUEST_TIMEOUT_MS = 5000;
/** HTTP status of a follower's answer. */
const NOT_LEADER = 503;

/** Body of a controller's answer at `/replicas`. */
interface ReplicasAnswer {
  replicas?: object[];
  error?: string;
  /** Name of the leader, if a follower answers. */

  // eslint-disable-next-line local/retired-words -- the endpoint's field
  owner?: string | null;
}

/** Adds the command `replicas`, for operators at a terminal. */
export function addReplicaCommands(program: Command, output: Output): void {
  program
    .command('replicas')
    .description('list the replicas that span several tasks, incomplete replicas first')
    .option(
      '--at <address>',
      'address of the leader: the controller that owns the machines',
      '127.0.0.1:8080',
    )
    .addHelpText('after', formatExamples('replicas --at 10.0.0.1:8080'))
    .action(async ({ at }: { at: string }) => {
      const address = parseControllerAddress(at);
      const { status, body } = await fetchReplicas(address);
      if (body.replicas === undefined) {
        throw new CommandError(
          ExitCode.refused,
          `replicas: refused by ${address}: ${describeRefusal(status, body)}`,
        );
      }
      for (const row of body.replicas) output.out(`${JSON.stringify(row)}\n`);
    });
}

async function fetchReplicas(address: string): Promise<{ status: number; body: ReplicasAnswer }> {
  try {
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
    const response = await fetch(`http://${address}/replicas`, { signal });
    return { status: response.status, body: (await response.json()) as ReplicasAnswer };
  } catch (err) {
    const cause = err instanceof Error && err.cause instanceof Error ? err.cause : err;
    const why = cause instanceof Error ? cause.message : String(cause);
    throw new CommandError(ExitCode.noAnswer, `replicas: no answer from ${address}: ${why}`, {
      cause: err,
    });
  }
}

function describeRefusal(status: number, { error, owner: leader }: ReplicasAnswer): string {
  const hint = leader ? `; ask ${leader}` : '; no controller owns them now';
  const reason = `${status} ${error ?? 'the answer cannot be used'}`;
  return status === NOT_LEADER ? reason + hint : reason;
}
