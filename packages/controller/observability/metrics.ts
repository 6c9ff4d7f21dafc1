/** The metrics of a controller, by the library of Prometheus. */
import type { Histogram, Registry } from 'prom-client';

/** Upper bounds of the histograms' buckets, in heartbeat intervals. */
const BUCKETS = [0.0004, 0.001, 0.004, 0.01, 0.04, 0.1, 0.4, 1];

/** The values of a gauge by the values of its label; the key is '' if it has no label. */
export type GaugeValues = Record<string, number>;

/**
 * What `/metrics` shows, in Prometheus' text form. Gauges are read with each request. The library is
 * loaded with the first one, and times are observed from then on: to load it at each start cost a
 * controller a tenth of a second that the worker leases may not have.
 */
export class Metrics {
  private readonly registry: Registry;
  /** Seconds to answer a heartbeat. */
  readonly heartbeats: Histogram;
  /** Seconds to answer a user's request. */
  readonly userRequests: Histogram<'kind'>;
  /** Seconds of a scheduling round. */
  readonly rounds: Histogram;

  /** Loads the library and makes the metrics. Buckets follow from the heartbeat interval in seconds. */
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
    const buckets = BUCKETS.map((bound) => bound * heartbeatIntervalS);
    this.heartbeats = new Histogram({
      name: 'sorreldale_report_seconds',
      help: 'Time to answer a report of a worker',
      buckets,
      registers,
    });
    this.userRequests = new Histogram({
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

  /** Adds a gauge whose values are read with each request. */
  gauge(name: string, help: string, label: string | null, read: () => GaugeValues): void {
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

  /** All metrics in the text form. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  /** The content type of the text form. */
  get contentType(): string {
    return this.registry.contentType;
  }
}
