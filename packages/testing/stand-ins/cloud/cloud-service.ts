/** Stand-in of the cloud's API: its protocol, its limits and faults that tests can inject. */
import { MalformedBody, type HostPort, type MachineType, type Runtime } from '#wire';
import * as serving from '#wire/serving';
import { NO_REPLY, serveCbor, type CborServer, type ServedRequest } from '../http-server.js';
import { Latency, NORMAL_LATENCY, type LatencyProfile } from '../latency.js';
import { RequestFault } from '../request-fault.js';
import { RateLimit } from '../rate-limit.js';
import { USUAL_BOOTS, type BootProfile } from './boot-times.js';
import type { CapacityLimit } from './capacity.js';
import { MachineList } from './machine-list.js';
import { MachinePool } from './machine-pool.js';
import { isRunning, type MachineHosting, type ProvisionedMachine } from './provisioned-machine.js';
import { SpotPrices } from './spot-prices.js';

/** Settings of the cloud. */
export interface CloudOptions {
  types: MachineType[];
  capacity: CapacityLimit[];
  /** Maximum requests per second. */
  rps: number;
  /** Nominal lag of the machine list, in seconds. */
  listLagS: number;
}

const BURST_S = 2;
/** Default delay after which a request without an answer is executed, in seconds. */
const LATE_REQUEST_DELAY_S: [number, number] = [2, 12];

/** Serves the API of the cloud: provisions, deletes and lists machines. */
export class CloudService {
  private readonly pool: MachinePool;
  private readonly list: MachineList;
  private readonly prices: SpotPrices;
  private readonly latency: Latency;
  private readonly lostReplies: RequestFault;
  /** The fault in which scale-outs and deletions that were executed arrive once more. */
  readonly repeatedRequests: RequestFault;
  private readonly rate: RateLimit;
  /** Names of machines by the request that provisioned them, so that a repeated request provisions none. */
  private readonly machinesOfRequest = new Map<string, string[]>();
  private outage = false;
  private server: CborServer | null = null;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: CloudOptions,
    hosting: MachineHosting,
  ) {
    this.pool = new MachinePool(runtime, hosting, options.capacity);
    this.list = new MachineList(runtime, options.listLagS);
    this.prices = new SpotPrices(runtime);
    this.latency = new Latency(runtime);
    this.lostReplies = new RequestFault(runtime);
    this.repeatedRequests = new RequestFault(runtime);
    this.rate = new RateLimit(runtime.clock, options.rps, BURST_S);
  }

  async listen(address: HostPort): Promise<CborServer> {
    this.server = await serveCbor(this.runtime, address, (request) => this.handle(request));
    return this.server;
  }

  close(): void {
    this.server?.close();
  }

  /** Machines that are up now. Injected faults choose among them. */
  running(): ProvisionedMachine[] {
    return this.pool.all().filter(isRunning);
  }

  beginOutage(): void {
    this.outage = true;
  }

  endOutage(): void {
    this.outage = false;
  }

  setLatency(profile: LatencyProfile = NORMAL_LATENCY): void {
    this.latency.profile = profile;
  }

  /** Lets this share of scale-outs and deletions go unanswered and be executed late. */
  beginLateRequests(share: number, delayS = LATE_REQUEST_DELAY_S): void {
    this.lostReplies.begin({ share, delayS });
  }

  endLateRequests(): void {
    this.lostReplies.end();
  }

  /** Sets the boot times of machines that are provisioned from now on. */
  setBootProfile(profile: BootProfile = USUAL_BOOTS): void {
    this.pool.bootProfile = profile;
  }

  setCapacity(limits: CapacityLimit[]): void {
    this.pool.capacity.setLimits(limits);
  }

  /** Reclaims a machine, after a notice of about `noticeS` seconds, or without one if null. */
  reclaim(name: string, noticeS: number | null): void {
    const machine = this.pool.get(name);
    if (!machine) return;
    if (noticeS === null) this.pool.remove(machine);
    else this.pool.giveNotice(machine, noticeS);
  }

  /** Lets the machine fail. The list shows it as running for a while. */
  kill(name: string): void {
    const machine = this.pool.get(name);
    if (machine) this.pool.fail(machine);
  }

  private async handle(request: ServedRequest): Promise<serving.WireReply | typeof NO_REPLY> {
    if (this.outage) return serving.UNAVAILABLE;
    if (!this.rate.tryTake(1)) return serving.TOO_MANY_REQUESTS;
    const parsed = serving.parseCloudRequest(request);
    const changes = parsed.op === 'rent' || parsed.op === 'release';
    const loss = changes ? this.lostReplies.draw() : null;
    if (loss) {
      await this.lostReplies.waitForDelay(loss);
      this.execute(parsed);
      return NO_REPLY;
    }
    return this.latency.delay(() => {
      if (this.outage) return serving.UNAVAILABLE;
      if (changes) void this.repeat(parsed);
      return this.execute(parsed);
    });
  }

  /** Executes a scale-out or deletion once more if a copy of it arrives. Nobody gets the answer. */
  private async repeat(request: serving.CloudRequest): Promise<void> {
    if (await this.repeatedRequests.nextCopy()) this.execute(request);
  }

  private execute(request: serving.CloudRequest): serving.WireReply {
    switch (request.op) {
      case 'catalog':
        return serving.catalogReply(this.options.types.map((type) => this.prices.current(type)));
      case 'rent':
        return this.provision(request);
      case 'release':
        return this.release(request.machines);
      case 'list': {
        const page = this.list.page(this.pool.all(), request.after, request.limit);
        return serving.machineListReply(page.machines, page.more);
      }
    }
  }

  private provision(request: serving.ParsedProvisionRequest): serving.WireReply {
    const known = this.machinesOfRequest.get(request.request);
    if (known) return serving.provisionReply(known);
    const type = this.options.types.find(({ name }) => name === request.type);
    if (!type?.zones.includes(request.zone)) throw new MalformedBody('no such type or zone');
    const { zone, spot, count } = request;
    const names = this.pool.provision({ type, zone, spot, count }).map((machine) => machine.name);
    if (names.length > 0) this.machinesOfRequest.set(request.request, names);
    return serving.provisionReply(names);
  }

  private release(names: string[]): serving.WireReply {
    for (const name of names) {
      const machine = this.pool.get(name);
      if (machine) this.pool.remove(machine);
    }
    this.pool.prune((machine) => this.list.isGoneFromLists(machine));
    return serving.releaseReply();
  }
}
