/** The server side of the cloud's API: decodes requests and encodes answers. */
import { MalformedBody } from '../cbor.js';
import {
  MAX_MACHINES_PER_RELEASE,
  MAX_MACHINES_PER_REQUEST,
  type ListedMachine,
  type MachineType,
} from '../cloud-client.js';
import {
  asFields,
  booleanField,
  integerField,
  integerQuery,
  listField,
  textField,
} from './fields.js';
import type { WireReply, WireRequest } from './message.js';

/** A decoded request to the cloud. */
export type CloudRequest =
  | { op: 'catalog' }
  | ParsedProvisionRequest
  | { op: 'release'; machines: string[] }
  | { op: 'list'; after: string | null; limit: number };

/** A request to provision machines of one type, zone and kind (spot or not). */
export interface ParsedProvisionRequest {
  op: 'rent';
  /** Name that makes the request idempotent. */
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

const MAX_LISTED = 500;
const LISTED_STATES: Record<ListedMachine['state'], string> = {
  booting: 'starting',
  running: 'running',
  failed: 'failed',
};

/** Decodes a request; throws MalformedBody for a request that the cloud answers with status 400. */
export function parseCloudRequest({ method, path, query, body }: WireRequest): CloudRequest {
  if (method === 'GET' && path === '/catalog') return { op: 'catalog' };
  if (method === 'POST' && path === '/hosts') return parseProvisionRequest(body);
  if (method === 'POST' && path === '/hosts/release') return parseRelease(body);
  if (method === 'GET' && path === '/hosts') {
    const limit = integerQuery(query, 'most', { min: 1, max: MAX_LISTED, ifMissing: MAX_LISTED });
    return { op: 'list', after: query.get('after'), limit };
  }
  throw new MalformedBody(`${method} ${path} is not part of the cloud's API`);
}

function parseProvisionRequest(body: unknown): ParsedProvisionRequest {
  const fields = asFields(body);
  return {
    op: 'rent',
    request: textField(fields, 'hire'),
    type: textField(fields, 'rig'),
    zone: textField(fields, 'yard'),
    spot: booleanField(fields, 'loaner'),
    count: integerField(fields, 'number', 1, MAX_MACHINES_PER_REQUEST),
  };
}

function parseRelease(body: unknown): CloudRequest {
  const machines = listField(asFields(body), 'hosts');
  if (machines.length > MAX_MACHINES_PER_RELEASE) throw new MalformedBody('too many hosts');
  if (!machines.every((name) => typeof name === 'string')) {
    throw new MalformedBody('a host is not a string');
  }
  return { op: 'release', machines };
}

/** Answers with all machine types. */
export function catalogReply(types: MachineType[]): WireReply {
  const rigs = types.map((type) => ({
    name: type.name,
    cores: type.cpus,
    accelerators: type.gpus,
    ramGb: type.memory,
    cacheGb: type.cacheGb,
    pullGbPerS: type.fetchGbPerS,
    price: type.price,
    marketPrice: type.spotPrice,
    startupS: type.bootS,
    yards: type.zones,
  }));
  return { status: 200, body: { rigs } };
}

/** Answers with the provisioned machines; an empty list is answered as a lack of capacity. */
export function provisionReply(machines: string[]): WireReply {
  if (machines.length === 0) return { status: 503, body: { error: 'no capacity' } };
  return { status: 200, body: { hosts: machines } };
}

/** Answers that the released machines are gone. */
export function releaseReply(): WireReply {
  return { status: 200, body: {} };
}

/** Answers with one page of the machine list. */
export function machineListReply(machines: ListedMachine[], more: boolean): WireReply {
  const hosts = machines.map((machine) => ({
    id: machine.name,
    address: machine.addr,
    rig: machine.type,
    yard: machine.zone,
    loaner: machine.spot,
    phase: LISTED_STATES[machine.state],
    ageS: machine.ageS,
  }));
  return { status: 200, body: { hosts, more } };
}
