import type { Express } from 'express';
import type { Ownership } from '#store';
import type { PartOwner } from './owner.js';
import type { OptionalReplicaSupport } from './replica-support.js';

export interface ReplicaEndpointOptions {
  replicas: OptionalReplicaSupport;
  /** Null while nothing is owned here. */
  owner: () => PartOwner | null;
  ownership: Pick<Ownership, 'holder'>;
}

/** Serves `/replicas` to operators: the replicas of several members, if they are switched on. */
export function mountReplicas(app: Express, options: ReplicaEndpointOptions): void {
  app.get('/replicas', (_req, res) => {
    const { support } = options.replicas;
    const groups = options.owner()?.replicaGroups ?? null;
    if (support === null) {
      res
        .status(404)
        .json({ error: "the section replicaGroups of the operators' settings is absent" });
    } else if (groups === null) {
      const owner = options.ownership.holder?.owner ?? null;
      res.status(503).json({ error: 'this controller does not own the machines', owner });
    } else res.json({ replicas: support.rows(groups) });
  });
}
