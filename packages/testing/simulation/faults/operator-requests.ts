/** Requests that the operators send during a run. */
import { encodeMigration, migrationKey } from '#shards';
import { decodeLeader, shardKey } from '#store';
import type { StateService } from '../../stand-ins/index.js';
import type { SimulatedController } from '../controllers.js';
import type { MigrationPhases } from '../migration-phases.js';
import type { OperatorRequest } from '../scenario.js';
import type { World } from '../world.js';
import { makeEffect, type FaultEffect } from './effect.js';

const SHARD = 0;

/** Objects on which requests of the operators act. */
export interface OperatorContext {
  world: World;
  state: StateService;
  moves: MigrationPhases;
  controllers: SimulatedController[];
}

/** Requests at a fixed interval that the shard move to the next controller, until the fault ends. */
export function beginOperatorRequests(
  context: OperatorContext,
  { everyS }: OperatorRequest,
): FaultEffect {
  const { world, controllers } = context;
  let active = true;
  let round = 0;
  const requestNext = () => {
    if (!active) return;
    requestMigration(context, controllers[++round % controllers.length].name);
    world.schedule(everyS, requestNext);
  };
  requestNext();
  return makeEffect({
    controllers: controllers.map(({ name }) => name),
    end: () => void (active = false),
  });
}

/** Requests a migration as the command line does: only if the shard has a leader and no migration is in progress. */
function requestMigration({ state, moves }: OperatorContext, to: string): void {
  const { store } = state;
  const shard = store.get(shardKey(SHARD));
  if (!shard || store.get(migrationKey(SHARD)) || decodeLeader(shard.value).leader === to) return;
  const value = encodeMigration({
    fromTerm: shard.version,
    target: to,
    reason: 'a test',
    phase: 'requested',
  });
  const changes = [{ put: migrationKey(SHARD), value }];
  store.apply(changes);
  const sent = { clientHost: 'operator', answered: true, repeated: false, pendingS: 0 };
  moves.observe({ kind: 'transaction', changes, applied: true, ...sent });
}
