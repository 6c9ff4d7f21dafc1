import type { Express } from 'express';
import type { LeaderElection } from '#store';
import type { ShardLeader } from '../leadership/shard-leader.js';
import type { OptionalReplicaSupport } from '../replica-support.js';

export interface ReplicaEndpointOptions {
  replicas: OptionalReplicaSupport;
  /** Null while nothing is owned here. */
  leader: () => ShardLeader | null;
  election: Pick<LeaderElection, 'currentLeader'>;
}

/** Serves `/replicas` to operators: the replicas of several members, if they are switched on. */
export function mountReplicas(app: Express, options: ReplicaEndpointOptions): void {
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
    } else res.json({ replicas: support.rows(groups) });
  });
}
