/** Serves the list of replicas that have several members to operators. */
import type { Express } from 'express';
import type { LeaderElection } from '#store';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { OptionalReplicaSupport } from '../replica-support.js';

/** Sources of the list of replicas. */
export interface ReplicaEndpointOptions {
  replicas: OptionalReplicaSupport;
  /** The leader that runs in this process; null while this controller is a follower. */
  leader: () => ShardLeader | null;
  election: Pick<LeaderElection, 'currentLeader'>;
}

/** Adds the route `/replicas`. It answers with 404 if replica groups are disabled. */
export function mountReplicaRoute(app: Express, options: ReplicaEndpointOptions): void {
  app.get('/replicas', (_req, res) => {
    const { support } = options.replicas;
    const groups = options.leader()?.replicaGroups ?? null;
    if (support === null) {
      res
        .status(404)
        .json({ error: "the section replicaGroups of the operators' settings is absent" });
    } else if (groups === null) {
      const leader = options.election.currentLeader?.leader ?? null;
      res.status(503).json({ error: 'this controller does not own the machines', owner: leader });
    } else res.json({ replicas: support.listReplicas(groups) });
  });
}
