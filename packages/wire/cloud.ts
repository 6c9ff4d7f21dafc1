import { CborClient } from './http.js';
import type { Runtime } from './runtime.js';

/** A kind of machine that can be rented, with its nominal sizes. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  /** GB. */
  memory: number;
  /** Room for images; GB. */
  cacheGb: number;
  fetchGbPerS: number;
  /** Money per hour. */
  price: number;
  spotPrice: number;
  /** Nominal time from a rental until the worker reports; seconds. */
  bootS: number;
  zones: string[];
}

/** A machine as the cloud's list shows it, which lags behind. */
export interface ListedMachine {
  name: string;
  /** HOST:PORT of its worker. */
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Since the rental, at the time that the list describes; seconds. */
  ageS: number;
}

/** Machines of one type, zone and kind that are asked for together. */
export interface ProvisionRequest {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** What became of a rental; `trouble` did nothing and may be asked for again under the same name. */
export type ProvisionOutcome = { machines: string[] } | 'no-capacity' | 'trouble';

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

/** Machines on one page of the list. */
const PAGE = 500;
const MAX_SOCKETS = 4;
/** Machines that one call may release. */
export const RELEASE_AT_ONCE = 100;
/** Machines that one call may rent. */
export const MACHINES_PER_REQUEST = 50;

/** The cloud's interface, call by call. Calls reject with NoAnswer or CloudRefused. */
export class CloudClient {
  private readonly http: CborClient;

  constructor(
    runtime: Runtime,
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.http = new CborClient(runtime, address, MAX_SOCKETS);
  }

  /** All machine types that can be rented. */
  async catalog(signal?: AbortSignal): Promise<MachineType[]> {
    const res = await this.call('GET', '/catalog', undefined, signal);
    return (res as { rigs: RawType[] }).rigs.map(readType);
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
    return { more: res.more, machines: res.hosts.map(readMachine) };
  }

  /** Rents machines under a name that was never used before, or repeats that same request. */
  async provision(
    request: string,
    { type, zone, spot, count }: ProvisionRequest,
    signal?: AbortSignal,
  ): Promise<ProvisionOutcome> {
    const body = {
      hire: request,
      rig: type,
      yard: zone,
      loaner: spot,
      number: Math.min(count, MACHINES_PER_REQUEST),
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

function readType(raw: RawType): MachineType {
  return {
    name: raw.name,
    cpus: raw.cores,
    gpus: raw.accelerators,
    memory: raw.ramGb,
    cacheGb: raw.cacheGb,
    fetchGbPerS: raw.pullGbPerS,
    price: raw.price,
    spotPrice: raw.marketPrice,
    bootS: raw.startupS,
    zones: raw.yards,
  };
}

function readMachine(raw: RawMachine): ListedMachine {
  return {
    name: raw.id,
    addr: raw.address,
    type: raw.rig,
    zone: raw.yard,
    spot: raw.loaner,
    state: readState(raw.phase),
    ageS: raw.ageS,
  };
}

function readState(phase: string): ListedMachine['state'] {
  if (phase === 'starting') return 'booting';
  return phase === 'failed' ? 'failed' : 'running';
}
