import type { Express } from 'express';
import { reply } from './http-bodies.js';
import type { ControllerServices } from './services.js';
import type { StatusExchange } from './status-exchange.js';

/** Report periods without service after which this controller looks at how its peers are served. */
const PATIENCE = 2;

type Services = Pick<ControllerServices, 'settings' | 'client' | 'jobs' | 'types'>;

export interface HealthOptions extends Services {
  statuses: StatusExchange;
}

/** Serves `/healthz`. */
export class Health {
  constructor(private readonly options: HealthOptions) {}

  mount(app: Express): void {
    app.get('/healthz', (_req, res) => {
      const { ok } = this;
      reply(res, ok ? 200 : 503, { ok });
    });
  }

  /** False only when requests cannot be taken: not loaded yet, or refused while others are served. */
  get ok(): boolean {
    const { settings, client, jobs, types, statuses } = this.options;
    if (!jobs.cache.ready || types.all().length === 0) return false;
    const { lastOkAt, lastFailAt, failing } = client;
    const patienceS = PATIENCE * settings.deployment.workers.report_s;
    if (!failing || lastFailAt - lastOkAt < patienceS) return true;
    return !statuses
      .statuses()
      .some((peer) => peer && !peer.frame.refused && peer.servedAt > lastOkAt + patienceS);
  }
}
