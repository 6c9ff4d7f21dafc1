import { CborClient } from './http.js';
import type { Runtime } from './runtime.js';

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memory: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface ListedMachine {
  name: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

export type RentOutcome = { machines: string[] } | 'no-capacity' | 'trouble';

interface RawType {
  name: string;
  cores: number;
  accelerators: number;
  ramGb: number;
  cacheGb: number;
  pullGbPerS: number;
  price: number;
  marketPrice: number;
  startupS: number;
  yards: string[];
}
interface RawMachine {
  id: string;
  address: string;
  rig: string;
  yard: string;
  loaner: boolean;
  phase: string;
  ageS: number;
}

/** A refusal or an outage of the cloud's interface; nothing was carried out. */
class CloudRefused extends Error {}

const PAGE = 500;
const MAX_SOCKETS = 4;
export const RELEASE_AT_ONCE = 100;
export const RENT_AT_ONCE = 50;

export class CloudClient {
  private readonly http: CborClient;

  constructor(
    runtime: Runtime,
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.http = new CborClient(runtime, address, MAX_SOCKETS);
  }

  async catalog(signal?: AbortSignal): Promise<MachineType[]> {
    const res = await this.call('GET', '/catalog', undefined, signal);
    return (res as { rigs: RawType[] }).rigs.map((t) => ({
      name: t.name,
      cpus: t.cores,
      gpus: t.accelerators,
      memory: t.ramGb,
      cacheGb: t.cacheGb,
      fetchGbPerS: t.pullGbPerS,
      price: t.price,
      spotPrice: t.marketPrice,
      bootS: t.startupS,
      zones: t.yards,
    }));
  }

  /** One page of the machine list, and whether more follow. */
  async list(
    after: string | null,
    signal?: AbortSignal,
  ): Promise<{ machines: ListedMachine[]; more: boolean }> {
    const from = after === null ? '' : `after=${encodeURIComponent(after)}&`;
    const res = (await this.call('GET', `/hosts?${from}most=${PAGE}`, undefined, signal)) as {
      hosts: RawMachine[];
      more: boolean;
    };
    return {
      more: res.more,
      machines: res.hosts.map((m) => ({
        name: m.id,
        addr: m.address,
        type: m.rig,
        zone: m.yard,
        spot: m.loaner,
        state: m.phase === 'starting' ? 'booting' : m.phase === 'failed' ? 'failed' : 'running',
        ageS: m.ageS,
      })),
    };
  }

  async rent(
    request: string,
    what: { type: string; zone: string; spot: boolean; count: number },
    signal?: AbortSignal,
  ): Promise<RentOutcome> {
    const body = {
      hire: request,
      rig: what.type,
      yard: what.zone,
      loaner: what.spot,
      number: Math.min(what.count, RENT_AT_ONCE),
    };
    const res = await this.http.call('POST', '/hosts', { timeoutMs: this.timeoutMs, signal, body });
    if (res.status === 200) return { machines: (res.body as { hosts: string[] }).hosts };
    if (res.status === 503 && (res.body as { error?: string } | null)?.error === 'no capacity') {
      return 'no-capacity';
    }
    return 'trouble';
  }

  /** Resolves only on the answer that proves the machines gone. */
  async release(machines: string[], signal?: AbortSignal): Promise<void> {
    await this.call('POST', '/hosts/release', { hosts: machines }, signal);
  }

  close(): void {
    this.http.close();
  }

  private async call(
    method: string,
    path: string,
    body: unknown,
    signal?: AbortSignal,
  ): Promise<unknown> {
    const res = await this.http.call(method, path, { timeoutMs: this.timeoutMs, signal, body });
    if (res.status !== 200) throw new CloudRefused(`${method} ${path}: ${res.status}`);
    return res.body;
  }
}
