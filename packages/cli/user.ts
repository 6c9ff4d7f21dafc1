import { Command } from 'commander';
import { readFileSync } from 'node:fs';
import { NoAnswer, UserClient } from '#wire';

const EXIT_REFUSED = 1;
const EXIT_NO_ANSWER = 3;

type Reply = Awaited<ReturnType<UserClient['status']>>;

async function ask(address: string, run: (client: UserClient) => Promise<Reply>): Promise<void> {
  const client = new UserClient(address);
  try {
    const out = await run(client);
    process.stdout.write(`${JSON.stringify({ status: out.status, ...out.job })}\n`);
    if (out.status !== 200 && out.status !== 201) process.exitCode = EXIT_REFUSED;
  } catch (err) {
    if (!(err instanceof NoAnswer)) throw err;
    process.stderr.write(`${err.message}\n`);
    process.exitCode = EXIT_NO_ANSWER;
  } finally {
    client.close();
  }
}

/** submit, status and abort, for people at a terminal. */
export function addUserCommands(program: Command): void {
  const at = ['--at <address>', 'address of a controller', '127.0.0.1:8080'] as const;
  program
    .command('submit')
    .description('submit a job')
    .argument('<file>', "JSON file with the job in the protocol's words")
    .option(...at)
    .action((file: string, options: { at: string }) =>
      ask(options.at, (c) => c.submitRaw(JSON.parse(readFileSync(file, 'utf8')))),
    );
  program
    .command('status')
    .description('ask how a job is')
    .argument('<id>')
    .option(...at)
    .action((id: string, options: { at: string }) => ask(options.at, (c) => c.status(id)));
  program
    .command('abort')
    .description('abort a job')
    .argument('<id>')
    .option(...at)
    .action((id: string, options: { at: string }) => ask(options.at, (c) => c.abort(id)));
}
