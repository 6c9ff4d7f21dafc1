/**
 * Runs one controller.
 *
 * All background work in this package follows one lifecycle convention. A component that works in the
 * background has a method `run(signal)`. The caller owns the component and stops it by aborting the signal.
 * `run` then ends every timer, connection, subscription and server that it started, and resolves only after
 * all of them have ended. After an error, `run` also ends all of them before it rejects, and the caller stops
 * all other components that it runs.
 */
import { setMaxListeners } from 'node:events';
import type { ReplicaClasses } from '#replicas';
import type { ShardMigrator } from '#shards';
import type { Runtime } from '#wire';
import { composeController, type ControllerComponents } from './controller-components.js';
import { leaderLeaseLimits } from './leadership/leader-lease.js';
import { loadShardMigrator } from './leadership/shard-migration.js';
import type { Log } from './observability/log.js';
import { loadReplicaSupport } from './replica-support.js';
import { ONLY_SHARD } from './services.js';
import type { MigrationSettings } from './settings/operator-settings.js';
import type { Settings } from './settings/settings.js';

/** One controller of a cluster. Starts and stops all its components. */
export class Controller {
  private readonly components: ControllerComponents;

  constructor(
    private readonly runtime: Runtime,
    private readonly settings: Settings,
    private readonly log: Log,
  ) {
    this.components = composeController(runtime, settings, log);
  }

  /**
   * Runs until the signal aborts, and resolves after all components have ended. Rejects, also only after all
   * components have ended, with ListenError if it can't listen on an address, or with an unexpected error of
   * a component.
   */
  async run(signal: AbortSignal): Promise<void> {
    const stop = new AbortController();
    // Every component and connection listens to this signal, and the number of connections grows with the
    // number of peers.
    setMaxListeners(0, stop.signal);
    const end = () => {
      stop.abort();
    };
    if (signal.aborted) end();
    signal.addEventListener('abort', end, { once: true });
    // Components that follow changes of records must exist before the caches run. If neither shard migration
    // nor replica groups are configured, everything starts without waiting for a package to load.
    const { moves, replicaGroups } = this.settings.operator;
    const migrator = moves === null ? null : await this.loadShardMigrator(moves);
    if (replicaGroups !== null) await this.loadReplicaSupport(replicaGroups);
    const running = this.startComponents(stop.signal);
    if (migrator !== null) running.push(migrator.run(stop.signal));
    try {
      await Promise.all(running);
    } finally {
      end();
      signal.removeEventListener('abort', end);
      this.components.cloud.close();
      this.components.state.client.close();
      await Promise.allSettled(running);
    }
  }

  private async loadReplicaSupport(classes: ReplicaClasses): Promise<void> {
    const { runtime, settings, log } = this;
    const { replicas } = this.components.services;
    replicas.support = await loadReplicaSupport({ runtime, settings, log }, classes);
  }

  private loadShardMigrator(limits: MigrationSettings): Promise<ShardMigrator> {
    const { runtime, settings, log } = this;
    const { services, state, statuses, terms } = this.components;
    const { client, election, jobs } = services;
    const { world } = state;
    const { silenceS } = leaderLeaseLimits(settings);
    const shared = { runtime, settings, log, client, election, jobs };
    return loadShardMigrator(
      { ...shared, world, statuses, terms, shard: ONLY_SHARD, silenceS },
      limits,
    );
  }

  /** Starts all components. Each promise settles once its component has ended. */
  private startComponents(signal: AbortSignal): Promise<void>[] {
    const { components } = this;
    components.peers.frames.subscribe(({ from, frame }) => {
      components.statistics.peerFrames++;
      components.coordinator.receive(from, frame);
    });
    return [
      components.httpServer.run(signal),
      components.state.world.run(signal),
      components.state.jobs.run(signal),
      components.services.election.run(signal),
      components.peers.run(signal),
      components.coordinator.run(signal),
      components.terms.run(signal),
      components.eventLoopDelay.run(signal),
      components.statistics.run(signal),
    ];
  }
}
