/** Serves the health checks of the load balancer. */
import type { Express } from 'express';
import { isHealthy } from './health.js';
import { replyHealth } from './replies.js';
import type { ControllerServices } from '../services.js';
import type { StatusExchange } from '../peers/status-exchange.js';

/** Heartbeat intervals for which a failure of the state service or the silence of a peer is tolerated. */
const TOLERANCE_INTERVALS = 2;

type Services = Pick<ControllerServices, 'runtime' | 'settings' | 'client' | 'jobs' | 'types'>;

/** Dependencies of `HealthEndpoint`. */
export interface HealthEndpointOptions extends Services {
  statuses: StatusExchange;
}

/** Serves `/healthz`. */
export class HealthEndpoint {
  constructor(private readonly options: HealthEndpointOptions) {}

  /** Adds the route to the application. */
  mount(app: Express): void {
    app.get('/healthz', (_req, res) => {
      replyHealth(res, this.isHealthy());
    });
  }

  private isHealthy(): boolean {
    const { runtime, settings, client, jobs, types, statuses } = this.options;
    return isHealthy({
      now: runtime.clock.now(),
      isLoaded: jobs.cache.isLoaded && types.all().length > 0,
      isServiceFailing: client.isFailing,
      lastSuccessAt: client.lastSuccessAt,
      lastFailureAt: client.lastFailureAt,
      peers: statuses.statuses(),
      toleranceS: TOLERANCE_INTERVALS * settings.deployment.workers.report_s,
    });
  }
}
