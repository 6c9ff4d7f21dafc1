/** Simulates an idle cluster whose machines are all in use, and counts the operations of its controllers. */
import { makeJob } from '../../samples.js';
import { Cluster } from '../../simulation/cluster.js';
import { SMALL_CLUSTER, type ClusterSettings } from '../../simulation/cluster-settings.js';
import { type Costs, costsBetween, scaleCosts, sumCosts } from '../../simulation/costs.js';
import { machineType } from '../../loopback/sizing/machine-type.js';
import { planAnchorJobs } from '../../loopback/sizing/workload.js';
import { type PlannedJob, QUICK_BOOTS } from '../../stand-ins/index.js';

export interface CostRunOptions {
  controllers: number;
  machines: number;
  seed: number;
}

/** Operations of the controllers of an idle cluster. */
export interface CostRun {
  /** Costs of the leader over a minute without user requests. */
  leaderMinute: Costs;
  /** Average costs of a standby over the same minute. */
  standbyMinute: Costs;
  /**
   * Costs of all controllers together for one job of one task, from its submission until its user knows that it is
   * done. The costs of the idle cluster are subtracted.
   */
  job: Costs;
}

/** Costs of the leader and of each standby over a period. */
interface Observed {
  leader: Costs;
  standbys: Costs[];
}

/** Time until all machines are up and run their tasks. */
const FILL_S = 45;
const MINUTE_S = 60;
const JOBS = 10;
const JOB_EVERY_S = 2;
const JOB_RUN_S = 3;
/** Time from the last submission until the user of that job knows that it is done. */
const LAST_JOB_S = 20;
const BUSY_S = JOBS * JOB_EVERY_S + LAST_JOB_S;

/** Simulates the cluster and counts. The same seed gives the same counts. */
export async function runForCosts(options: CostRunOptions): Promise<CostRun> {
  const cluster = new Cluster(clusterSettings(options), options.seed);
  cluster.cloud.setBootProfile(QUICK_BOOTS);
  await cluster.start();
  const teams = cluster.settings.deployment.teams.map(({ name }) => name);
  cluster.users.start(planAnchorJobs(options.machines, teams));
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

/** Settings with one team without limits and machines of one type. */
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

/** Simulates this number of seconds and returns the costs. Throws if the leader changes meanwhile. */
async function observe(cluster: Cluster, seconds: number): Promise<Observed> {
  const { world, controllers, costs, leadership } = cluster;
  const currentLeader = leadership.current();
  const before = controllers.map(({ host }) => costs.costsOf(host.address));
  await world.runUntil(world.now + seconds);
  if (currentLeader === null || leadership.current()?.term !== currentLeader.term) {
    throw new Error('the leader of the shard changed during the measurement');
  }
  const spent = controllers.map(({ host }, index) =>
    costsBetween(costs.costsOf(host.address), before[index]),
  );
  const leaderIndex = controllers.findIndex(({ name }) => name === currentLeader.leader);
  const [leader] = spent.splice(leaderIndex, 1);
  return { leader, standbys: spent };
}

/** Submits small jobs, one after the other, from separate users. */
function submitJobs(cluster: Cluster, team: string): void {
  const users = cluster.makeUsers();
  for (let index = 0; index < JOBS; index++) {
    const job = makeJob({ id: `j-${500_000 + index}`, team, spot: true });
    const program = { job, runS: [JOB_RUN_S], failsAfterS: null };
    const submitAtS = index * JOB_EVERY_S;
    const planned: PlannedJob = { program, submitAtS, cancelAfterS: null, repeatAfterS: null };
    cluster.world.schedule(submitAtS, () => users.submit(planned));
  }
}
