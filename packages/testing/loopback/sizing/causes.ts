/** Attributes the samples of a CPU profile to causes, by the modules and functions on their stacks. */

/** What a controller spends processor time on. */
export const CAUSES = [
  'rounds',
  'reports',
  'users',
  'direct commands',
  'records',
  'peers',
  'state service, all else',
  'cloud',
  'log and counters',
  'HTTP server, all else',
  'HTTP clients, all else',
  'sockets, streams and timers',
  'garbage collection',
  'outside JavaScript',
  'other',
] as const;

export type Cause = (typeof CAUSES)[number];

/** A function on the stack of a sample. */
export interface StackFrame {
  functionName: string;
  /** URL of the function's module: a file URL or `node:...`; empty for entries of V8 itself. */
  url: string;
}

/** Matches a stack that has a frame in one of the modules or libraries, or with one of the function names. */
interface Rule {
  cause: Cause;
  /** Modules of this project: paths below target/ without extension; a directory ends with a slash. */
  modules?: string[];
  /** Paths that the modules had in earlier builds, which can be measured with `--sources`. */
  formerModules?: string[];
  /** Modules of Node, such as `node:_http_server`, or packages below node_modules. */
  libraries?: string[];
  /** Names of functions in any module. */
  functions?: string[];
}

/** Rules in order of precedence: the first that matches decides, so specific rules precede general ones. */
export const RULES: readonly Rule[] = [
  { cause: 'garbage collection', functions: ['(garbage collector)'] },
  { cause: 'outside JavaScript', functions: ['(program)'] },
  {
    cause: 'rounds',
    functions: ['timedRound'],
    modules: ['core/placement/scheduler', 'core/autoscaling/capacity-planner'],
    formerModules: ['core/scheduler', 'core/capacity-planner'],
  },
  {
    cause: 'reports',
    modules: [
      'controller/heartbeats/heartbeat-endpoint',
      'core/heartbeats/heartbeat-processor',
      'wire/heartbeat',
    ],
    formerModules: ['controller/report-handler', 'core/report-handler', 'wire/report'],
  },
  {
    cause: 'log and counters',
    modules: [
      'controller/observability/process-statistics',
      'controller/observability/event-loop-delay',
      'controller/observability/log',
    ],
    formerModules: ['controller/vitals', 'controller/lag', 'controller/log'],
    libraries: ['pino'],
  },
  {
    cause: 'users',
    modules: [
      'controller/api/user-api',
      'controller/api/submission-handler',
      'controller/api/cancellation-handler',
      'controller/api/health-endpoint',
      'controller/api/admission',
    ],
    formerModules: ['controller/user-api', 'controller/health-endpoint', 'controller/admission'],
    libraries: ['express', 'router'],
  },
  {
    cause: 'direct commands',
    modules: ['controller/leadership/direct-commands', 'core/heartbeats/direct-orders'],
    formerModules: ['controller/direct', 'core/direct-orders'],
  },
  {
    cause: 'cloud',
    modules: ['controller/cloud/', 'wire/cloud-client'],
    formerModules: [
      'controller/cloud',
      'controller/rentals',
      'controller/machine-list',
      'wire/cloud',
    ],
  },
  {
    cause: 'records',
    modules: ['controller/records/', 'store/group-commit'],
    formerModules: [
      'controller/recorder',
      'controller/record-batch',
      'controller/machine-records',
      'controller/job-records',
      'controller/owner-records',
      'store/commit',
    ],
  },
  {
    cause: 'peers',
    modules: ['peer/', 'controller/peers/'],
    formerModules: [
      'controller/peer-coordinator',
      'controller/peer-link',
      'controller/status-exchange',
      'controller/cancellation-relay',
    ],
  },
  {
    cause: 'state service, all else',
    modules: ['store/', 'controller/jobs/', 'wire/state-api'],
    formerModules: ['controller/jobs', 'wire/state'],
  },
  {
    cause: 'HTTP server, all else',
    libraries: ['node:_http_server'],
    modules: ['controller/api/http-server'],
    formerModules: ['controller/http-server'],
  },
  {
    cause: 'HTTP clients, all else',
    libraries: ['node:_http_client', 'node:_http_agent'],
    modules: ['wire/cbor-client', 'wire/network-agent'],
    formerModules: ['wire/http', 'wire/agent'],
  },
  { cause: 'sockets, streams and timers', libraries: ['node:'] },
];
/** Function name of V8's idle samples, which are attributed to no cause. */
const IDLE_FUNCTION = '(idle)';

/** The cause of a sample with this stack; null if the processor was idle. */
export function causeOf(stack: StackFrame[]): Cause | null {
  if (stack.some(({ functionName }) => functionName === IDLE_FUNCTION)) return null;
  return RULES.find((rule) => stack.some((frame) => matches(rule, frame)))?.cause ?? 'other';
}

function matches(rule: Rule, { functionName, url }: StackFrame): boolean {
  const { functions = [], modules = [], formerModules = [], libraries = [] } = rule;
  if (functions.includes(functionName)) return true;
  const module = /\/target\/(.*)\.js$/.exec(url)?.[1];
  if (module !== undefined)
    return [...modules, ...formerModules].some((name) => isWithin(module, name));
  const library = /\/node_modules\/(.*)$/.exec(url)?.[1] ?? url;
  return libraries.some((name) => isWithin(library, name) || library.startsWith(`${name}/`));
}

/** Whether a name equals the pattern, or starts with it if the pattern ends with a slash or colon. */
function isWithin(name: string, pattern: string): boolean {
  return /[/:]$/.test(pattern) ? name.startsWith(pattern) : name === pattern;
}
