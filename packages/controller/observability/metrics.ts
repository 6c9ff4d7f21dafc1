import type { Histogram, Registry } from 'prom-client';

/** Shares of a report period. */
const BUCKETS = [0.0004, 0.001, 0.004, 0.01, 0.04, 0.1, 0.4, 1];

export interface Labelled {
  /** Value by label; '' where there is none. */
  [label: string]: number;
}

/**
 * What `/metrics` shows, in Prometheus' text form. Gauges are read when they are asked for. The library
 * is loaded with the first request for them, from which on times are observed: to load it at each start
 * cost a controller a tenth of a second that the workers' leases may not have.
 */
export class Metrics {
  private readonly registry: Registry;
  readonly heartbeats: Histogram;
  readonly questions: Histogram<'kind'>;
  readonly rounds: Histogram;

  static async load(heartbeatIntervalS: number): Promise<Metrics> {
    return new Metrics(await import('prom-client'), heartbeatIntervalS);
  }

  private constructor(
    private readonly library: typeof import('prom-client'),
    heartbeatIntervalS: number,
  ) {
    const { Histogram, Registry } = library;
    this.registry = new Registry();
    const registers = [this.registry];
    const buckets = BUCKETS.map((b) => b * heartbeatIntervalS);
    this.heartbeats = new Histogram({
      name: 'sorreldale_report_seconds',
      help: 'Time to answer a report of a worker',
      buckets,
      registers,
    });
    this.questions = new Histogram({
      name: 'sorreldale_user_request_seconds',
      help: 'Time to answer a request of a user',
      labelNames: ['kind'],
      buckets,
      registers,
    });
    this.rounds = new Histogram({
      name: 'sorreldale_round_seconds',
      help: 'Time of a scheduling round',
      buckets,
      registers,
    });
  }

  /** A group of values that is worked out anew for each request. */
  gauge(name: string, help: string, label: string | null, read: () => Labelled): void {
    new this.library.Gauge({
      name: `sorreldale_${name}`,
      help,
      labelNames: label === null ? [] : [label],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [key, value] of Object.entries(read())) {
          if (label === null) this.set(value);
          else this.set({ [label]: key }, value);
        }
      },
    });
  }

  text(): Promise<string> {
    return this.registry.metrics();
  }

  get contentType(): string {
    return this.registry.contentType;
  }
}
