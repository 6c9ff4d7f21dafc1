/** The metrics of a controller, kept by the Prometheus client library. */
import type { Histogram, Registry } from 'prom-client';

/** Upper bounds of the histogram buckets, in heartbeat intervals. */
const BUCKETS = [0.0004, 0.001, 0.004, 0.01, 0.04, 0.1, 0.4, 1];

/** Values of a gauge by label value; the key is '' if the gauge has no label. */
export type GaugeValues = Record<string, number>;

/**
 * The metrics that `/metrics` serves in Prometheus' text format. Gauges are read on each request. The first
 * request loads the library, and times are observed from then on. Loading the library at each start delayed
 * a controller by a tenth of a second, during which worker leases may expire.
 */
export class Metrics {
  private readonly registry: Registry;
  /** Seconds to answer a heartbeat. */
  readonly heartbeats: Histogram;
  /** Seconds to answer a user's request. */
  readonly userRequests: Histogram<'kind'>;
  /** Duration of a scheduling round, in seconds. */
  readonly rounds: Histogram;

  /** Loads the library and makes the metrics. Bucket bounds are multiples of the heartbeat interval. */
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
      help: 'Seconds to answer a heartbeat of a worker',
      buckets,
      registers,
    });
    this.userRequests = new Histogram({
      name: 'sorreldale_user_request_seconds',
      help: 'Seconds to answer a request of a user',
      labelNames: ['kind'],
      buckets,
      registers,
    });
    this.rounds = new Histogram({
      name: 'sorreldale_round_seconds',
      help: 'Duration of a scheduling round in seconds',
      buckets,
      registers,
    });
  }

  /** Adds a gauge; `read` returns its values and is called on each request. */
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

  /** All metrics in Prometheus' text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  /** The content type of the text format. */
  get contentType(): string {
    return this.registry.contentType;
  }
}
