/** The cloud's interface as the protocol describes it, with its limits and its faults. */
import { MalformedBody, type HostPort, type MachineType, type Runtime } from '#wire';
import * as serving from '#wire/serving';
import { NO_REPLY, serveCbor, type CborServer, type ServedRequest } from '../http-server.js';
import { Latency, PROMPT, type LatencyProfile } from '../latency.js';
import { ReplyLoss } from '../lost-replies.js';
import { RateLimit } from '../rate-limit.js';
import { USUAL_BOOTS, type BootProfile } from './boot-times.js';
import type { CapacityLimit } from './capacity.js';
import { MachineList } from './machine-list.js';
import { MachinePark } from './machine-park.js';
import { isRunning, type MachineHosting, type ProvisionedMachine } from './provisioned-machine.js';
import { SpotPrices } from './spot-prices.js';

/** The settings of the cloud. */
export interface CloudOptions {
  types: MachineType[];
  capacity: CapacityLimit[];
  /** Requests a second. */
  rps: number;
  listLagS: number;
}

const BURST_S = 2;
const LATE_REQUEST_S: [number, number] = [2, 12];

/** Serves the API of the cloud: provisions, deletes and lists machines. */
export class CloudService {
  private readonly park: MachinePark;
  private readonly list: MachineList;
  private readonly prices: SpotPrices;
  private readonly latency: Latency;
  private readonly lostReplies: ReplyLoss;
  private readonly rate: RateLimit;
  /** Names of machines by the name of the request that provisioned them. */
  private readonly machinesOfRequest = new Map<string, string[]>();
  private outage = false;
  private server: CborServer | null = null;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: CloudOptions,
    hosting: MachineHosting,
  ) {
    this.park = new MachinePark(runtime, hosting, options.capacity);
    this.list = new MachineList(runtime, options.listLagS);
    this.prices = new SpotPrices(runtime);
    this.latency = new Latency(runtime);
    this.lostReplies = new ReplyLoss(runtime);
    this.rate = new RateLimit(runtime.clock, options.rps, BURST_S);
  }

  async listen(address: HostPort): Promise<CborServer> {
    this.server = await serveCbor(this.runtime, address, (request) => this.handle(request));
    return this.server;
  }

  close(): void {
    this.server?.close();
  }

  /** Machines that are up now, for faults to choose from. */
  running(): ProvisionedMachine[] {
    return this.park.all().filter(isRunning);
  }

  beginOutage(): void {
    this.outage = true;
  }

  endOutage(): void {
    this.outage = false;
  }

  setLatency(profile: LatencyProfile = PROMPT): void {
    this.latency.profile = profile;
  }

  /** That share of scale-outs and deletions gets no answer and is carried out late. */
  beginLateRequests(share: number, delayS = LATE_REQUEST_S): void {
    this.lostReplies.begin({ share, delayS });
  }

  endLateRequests(): void {
    this.lostReplies.end();
  }

  /** How long machines provisioned from now on take to boot. */
  setBootProfile(profile: BootProfile = USUAL_BOOTS): void {
    this.park.bootProfile = profile;
  }

  setCapacity(limits: CapacityLimit[]): void {
    this.park.capacity.change(limits);
  }

  /** Takes a machine back, after a notice of about so many seconds or without one. */
  takeBack(name: string, noticeS: number | null): void {
    const machine = this.park.get(name);
    if (!machine) return;
    if (noticeS === null) this.park.remove(machine);
    else this.park.giveNotice(machine, noticeS);
  }

  /** The machine stops by itself; the list shows it as running for a while. */
  kill(name: string): void {
    const machine = this.park.get(name);
    if (machine) this.park.die(machine);
  }

  private async handle(request: ServedRequest): Promise<serving.WireReply | typeof NO_REPLY> {
    if (this.outage) return serving.UNAVAILABLE;
    if (!this.rate.take(1)) return serving.TOO_MANY_REQUESTS;
    const parsed = serving.parseCloudRequest(request);
    const changes = parsed.op === 'rent' || parsed.op === 'release';
    const loss = changes ? this.lostReplies.draw() : null;
    if (loss) {
      await this.lostReplies.due(loss);
      this.execute(parsed);
      return NO_REPLY;
    }
    return this.latency.around(() => (this.outage ? serving.UNAVAILABLE : this.execute(parsed)));
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
        const page = this.list.page(this.park.all(), request.after, request.limit);
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
    const names = this.park.provision({ type, zone, spot, count }).map((machine) => machine.name);
    if (names.length > 0) this.machinesOfRequest.set(request.request, names);
    return serving.provisionReply(names);
  }

  private release(names: string[]): serving.WireReply {
    for (const name of names) {
      const machine = this.park.get(name);
      if (machine) this.park.remove(machine);
    }
    this.park.forget((machine) => this.list.isForgotten(machine));
    return serving.releaseReply();
  }
}
