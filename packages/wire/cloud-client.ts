/** The client of the cloud that provisions machines, and the codec of its messages. */
import { type Answer, CborClient } from './cbor-client.js';
import { HttpStatus } from './http-status.js';
import type { Runtime } from './runtime.js';

/** A machine type that can be provisioned, with its nominal capacity. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  /** GB. */
  memory: number;
  /** Capacity of the image cache; GB. */
  cacheGb: number;
  fetchGbPerS: number;
  /** Price per hour. */
  price: number;
  spotPrice: number;
  /** Nominal time from a provisioning request to the worker's first heartbeat; seconds. */
  bootS: number;
  zones: string[];
}

/** A machine in the cloud's list, which is delayed and may describe a past state. */
export interface ListedMachine {
  name: string;
  /** HOST:PORT of the machine's worker. */
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Seconds since the machine was provisioned, as of the moment that the list describes. */
  ageS: number;
}

/** Machines of one type, zone and kind (spot or not) that are requested together. */
export interface ProvisionRequest {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The result of a provisioning request; `trouble`: nothing was provisioned, and the same request may be retried. */
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

/** The cloud refused a call or had an outage, and did not execute the call. */
class CloudRefused extends Error {
  override readonly name = 'CloudRefused';

  constructor(
    method: string,
    path: string,
    readonly status: number,
  ) {
    super(`the cloud refused ${method} ${path}: status ${status}`);
  }
}

/** Number of machines on one page of the machine list. */
const PAGE_SIZE = 500;
const MAX_SOCKETS = 4;
/** Maximum number of machines that one call may release. */
export const MAX_MACHINES_PER_RELEASE = 100;
/** Maximum number of machines that one call may provision. */
export const MAX_MACHINES_PER_REQUEST = 50;

/** A client with one method per call of the cloud's API. Calls reject with NoAnswer or CloudRefused. */
export class CloudClient {
  private readonly http: CborClient;

  constructor(
    runtime: Runtime,
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.http = new CborClient(runtime, address, MAX_SOCKETS);
  }

  /** Reads all machine types that can be provisioned. */
  async catalog(signal?: AbortSignal): Promise<MachineType[]> {
    const body = (await this.call('GET', '/catalog', undefined, signal)) as { rigs: RawType[] };
    return body.rigs.map(readType);
  }

  /** Reads one page of the machine list; `more` tells whether other pages follow. */
  async list(
    after: string | null,
    signal?: AbortSignal,
  ): Promise<{ machines: ListedMachine[]; more: boolean }> {
    const from = after === null ? '' : `after=${encodeURIComponent(after)}&`;
    const page = (await this.call('GET', `/hosts?${from}most=${PAGE_SIZE}`, undefined, signal)) as {
      hosts: RawMachine[];
      more: boolean;
    };
    return { more: page.more, machines: page.hosts.map(readMachine) };
  }

  /** Provisions machines. The request name must be new, unless the call retries the same request. */
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
      number: Math.min(count, MAX_MACHINES_PER_REQUEST),
    };
    const answer = await this.http.call('POST', '/hosts', {
      timeoutMs: this.timeoutMs,
      signal,
      body,
    });
    if (answer.status === HttpStatus.ok) {
      return { machines: (answer.body as { hosts: string[] }).hosts };
    }
    return isWithoutCapacity(answer) ? 'no-capacity' : 'trouble';
  }

  /** Deprovisions machines; resolves only once the cloud has confirmed that the machines are gone. */
  async release(machines: string[], signal?: AbortSignal): Promise<void> {
    await this.call('POST', '/hosts/release', { hosts: machines }, signal);
  }

  /** Closes the client: calls in flight and all later calls reject with NoAnswer. */
  close(): void {
    this.http.close();
  }

  private async call(
    method: string,
    path: string,
    body: unknown,
    signal?: AbortSignal,
  ): Promise<unknown> {
    const { timeoutMs } = this;
    const answer = await this.http.call(method, path, { timeoutMs, signal, body });
    if (answer.status !== HttpStatus.ok) throw new CloudRefused(method, path, answer.status);
    return answer.body;
  }
}

function isWithoutCapacity({ status, body }: Answer): boolean {
  const error = (body as { error?: string } | null)?.error;
  return status === HttpStatus.unavailable && error === 'no capacity';
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
