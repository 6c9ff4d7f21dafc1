import type { Express } from 'express';
import { isHealthy } from './health.js';
import { reply } from './http-bodies.js';
import type { ControllerServices } from '../services.js';
import type { StatusExchange } from '../peers/status-exchange.js';

/** Report periods for which a refusal, or a peer's silence, may last before it counts. */
const PATIENCE_PERIODS = 2;

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'client' | 'jobs' | 'types'>;

export interface HealthEndpointOptions extends Services {
  statuses: StatusExchange;
}

/** Serves `/healthz`. */
export class HealthEndpoint {
  constructor(private readonly options: HealthEndpointOptions) {}

  mount(app: Express): void {
    app.get('/healthz', (_req, res) => {
      const ok = this.healthy();
      reply(res, ok ? 200 : 503, { ok });
    });
  }

  private healthy(): boolean {
    const { runtime, settings, client, jobs, types, statuses } = this.options;
    return isHealthy({
      now: runtime.clock.now(),
      loaded: jobs.cache.ready && types.all().length > 0,
      refused: client.failing,
      lastOkAt: client.lastOkAt,
      lastFailAt: client.lastFailAt,
      peers: statuses.statuses(),
      patienceS: PATIENCE_PERIODS * settings.deployment.workers.report_s,
    });
  }
}
