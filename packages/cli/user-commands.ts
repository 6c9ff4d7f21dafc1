/** The commands for users: `submit`, `status` and `abort`. */
import type { Command } from 'commander';
import { NoAnswer, type UserAnswer, UserClient } from '#wire';
import { parseControllerAddress, parseJobId } from './arguments.js';
import { CommandError, ExitCode } from './command-error.js';
import { formatExamples } from './help.js';
import { readJobFile } from './job-file.js';
import type { Output } from './output.js';

const OK = 200;
const CREATED = 201;

/** One request to a controller: its subject for error messages, its address, and the call that sends it. */
interface UserRequest {
  subject: string;
  address: string;
  send: (client: UserClient) => Promise<UserAnswer>;
}

/** Adds the commands `submit`, `status` and `abort`, for people at a terminal. */
export function addUserCommands(program: Command, output: Output): void {
  const at = ['--at <address>', 'address of a controller', '127.0.0.1:8080'] as const;
  program
    .command('submit')
    .description('submit a job')
    .argument('<file>', "JSON file with the job, under the protocol's field names")
    .option(...at)
    .addHelpText('after', formatExamples('submit examples/job.json --at 10.0.0.1:8080'))
    .action(async (file: string, options: { at: string }) => {
      const job = readJobFile(file);
      const send = (client: UserClient) => client.submitRaw(job);
      await sendRequest({ subject: `submit ${file}`, address: options.at, send }, output);
    });
  program
    .command('status')
    .description('print the status of a job')
    .argument('<id>')
    .option(...at)
    .addHelpText('after', formatExamples('status j-000412 --at 10.0.0.1:8080'))
    .action(async (id: string, options: { at: string }) => {
      const send = (client: UserClient) => client.status(parseJobId(id));
      await sendRequest({ subject: `status ${id}`, address: options.at, send }, output);
    });
  program
    .command('abort')
    .description('abort a job')
    .argument('<id>')
    .option(...at)
    .addHelpText('after', formatExamples('abort j-000412 --at 10.0.0.1:8080'))
    .action(async (id: string, options: { at: string }) => {
      const send = (client: UserClient) => client.abort(parseJobId(id));
      await sendRequest({ subject: `abort ${id}`, address: options.at, send }, output);
    });
}

/** Sends the request and prints the answer; throws CommandError if there is no answer, or if it is a refusal. */
async function sendRequest({ subject, address, send }: UserRequest, output: Output): Promise<void> {
  const client = new UserClient(parseControllerAddress(address));
  try {
    const answer = await send(client);
    if (answer.status !== OK && answer.status !== CREATED) {
      const why = describeRefusal(answer);
      throw new CommandError(ExitCode.refused, `${subject}: refused by ${address}: ${why}`);
    }
    output.out(`${JSON.stringify({ status: answer.status, ...answer.job })}\n`);
  } catch (err) {
    if (!(err instanceof NoAnswer)) throw err;
    const why = `no answer from ${address}: ${err.message}`;
    throw new CommandError(ExitCode.noAnswer, `${subject}: ${why}`, { cause: err });
  } finally {
    client.close();
  }
}

/** One line with the status and reason of a refusal, and the time after which to retry if there is one. */
function describeRefusal({ status, job, retryAfterS }: UserAnswer): string {
  const reason = job !== null && 'error' in job && job.error ? ` ${oneLine(job.error)}` : '';
  const retry = retryAfterS === null ? '' : `, try again after ${retryAfterS} s`;
  return `${status}${reason}${retry}`;
}

function oneLine(text: string): string {
  return text.replace(/\s+/g, ' ');
}
