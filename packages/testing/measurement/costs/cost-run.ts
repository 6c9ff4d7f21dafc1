/** Plays a quiet cluster whose machines are all in use, and counts what its controllers do. */
import { aJob } from '../../samples.js';
import { Cluster } from '../../simulation/cluster.js';
import { SMALL_CLUSTER, type ClusterSettings } from '../../simulation/cluster-settings.js';
import { type Costs, costsBetween, scaleCosts, sumCosts } from '../../simulation/costs.js';
import { machineType } from '../../loopback/sizing/machine-type.js';
import { planAnchors } from '../../loopback/sizing/workload.js';
import { type PlannedJob, QUICK_BOOTS } from '../../stand-ins/index.js';

export interface CostRunOptions {
  controllers: number;
  machines: number;
  seed: number;
}

/** What the controllers of a quiet cluster did. */
export interface CostRun {
  /** Of the owner over a minute in which no user asks for anything. */
  leaderMinute: Costs;
  /** Of the others over that minute, on average. */
  standbyMinute: Costs;
  /**
   * Of all controllers together for one job of one task, from its submission until its user knows that it is
   * done, beside what they do anyway.
   */
  job: Costs;
}

/** Costs of the owner and of the others over a span of time. */
interface Observed {
  leader: Costs;
  standbys: Costs[];
}

/** Until all machines are up and hold their tasks. */
const FILL_S = 45;
const MINUTE_S = 60;
const JOBS = 10;
const JOB_EVERY_S = 2;
const JOB_RUN_S = 3;
/** From the last submission until the user of that job knows of its end. */
const LAST_JOB_S = 20;
const BUSY_S = JOBS * JOB_EVERY_S + LAST_JOB_S;

/** Plays it; the same seed gives the same counts. */
export async function runForCosts(options: CostRunOptions): Promise<CostRun> {
  const cluster = new Cluster(clusterSettings(options), options.seed);
  cluster.cloud.setBootProfile(QUICK_BOOTS);
  await cluster.start();
  const teams = cluster.settings.deployment.teams.map(({ name }) => name);
  cluster.users.start(planAnchors(options.machines, teams));
  await cluster.world.runUntil(FILL_S);
  cluster.users.stop();
  const idle = await observe(cluster, MINUTE_S);
  submitJobs(cluster, teams[0]);
  const busy = await observe(cluster, BUSY_S);
  return {
    leaderMinute: idle.leader,
    standbyMinute: scaleCosts(sumCosts(idle.standbys), 1 / idle.standbys.length),
    job: scaleCosts(
      costsBetween(sumOf(busy), scaleCosts(sumOf(idle), BUSY_S / MINUTE_S)),
      1 / JOBS,
    ),
  };
}

function sumOf({ leader, standbys }: Observed): Costs {
  return sumCosts([leader, ...standbys]);
}

/** One team without limits, and machines of one type. */
function clusterSettings({ controllers, machines }: CostRunOptions): ClusterSettings {
  const { deployment } = SMALL_CLUSTER;
  const team = { name: 'red', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 };
  return {
    ...SMALL_CLUSTER,
    controllers,
    deployment: { ...deployment, teams: [team] },
    machineTypes: [machineType(deployment.zones)],
    capacity: [{ machines }],
  };
}

/** Lets so many seconds pass; throws if the owner changes meanwhile. */
async function observe(cluster: Cluster, seconds: number): Promise<Observed> {
  const { world, controllers, costs, leadership: leadership } = cluster;
  const currentLeader = leadership.current();
  const before = controllers.map(({ host }) => costs.costsOf(host.address));
  await world.runUntil(world.now + seconds);
  if (currentLeader === null || leadership.current()?.term !== currentLeader.term) {
    throw new Error('the part has changed hands');
  }
  const spent = controllers.map(({ host }, index) =>
    costsBetween(costs.costsOf(host.address), before[index]),
  );
  const leaderIndex = controllers.findIndex(({ name }) => name === currentLeader.leader);
  const [leader] = spent.splice(leaderIndex, 1);
  return { leader, standbys: spent };
}

/** Small jobs, one after the other, of users of their own. */
function submitJobs(cluster: Cluster, team: string): void {
  const users = cluster.makeUsers();
  for (let index = 0; index < JOBS; index++) {
    const job = aJob({ id: `j-${500_000 + index}`, team, spot: true });
    const program = { job, runS: [JOB_RUN_S], failsAfterS: null };
    const submitAtS = index * JOB_EVERY_S;
    const planned: PlannedJob = { program, submitAtS, cancelAfterS: null, repeatAfterS: null };
    cluster.world.schedule(submitAtS, () => users.submit(planned));
  }
}
