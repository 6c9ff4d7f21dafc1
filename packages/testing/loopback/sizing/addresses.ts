import type { HostPort } from '#wire';
import type { AddressBook } from '../../simulation/addresses.js';

const STATE_PORT = 2379;
const CLOUD_PORT = 8443;
const SERVICE_PORT = 8080;
const PEER_PORT = 8081;
const FIRST_MACHINE_PORT = 10_000;
/** Last octets of the addresses; controllers have those from 1 on. */
const STATE_HOST = 200;
const CLOUD_HOST = 201;
const BALANCER_HOST = 202;
const MACHINES_HOST = 203;
/** Subnets below this one are left to other programs. */
const FIRST_SUBNET = 0x1000;
const SUBNETS = 0x8000;

/**
 * The addresses of one run. Each measuring process has a subnet of the loopback network chosen by its process
 * id, so that concurrent runs do not use the same addresses.
 */
export class LoopbackAddresses implements AddressBook {
  private readonly prefix: string;

  constructor(processId: number) {
    const subnet = FIRST_SUBNET + (processId % SUBNETS);
    this.prefix = `127.${subnet >> 8}.${subnet & 0xff}`;
  }

  service(index: number): HostPort {
    return this.at(1 + index, SERVICE_PORT);
  }

  peer(index: number): HostPort {
    return this.at(1 + index, PEER_PORT);
  }

  /** Each controller has its own address of the state service, so that its requests can be counted. */
  state(index: number): HostPort {
    return this.at(STATE_HOST, STATE_PORT + index);
  }

  get cloud(): HostPort {
    return this.at(CLOUD_HOST, CLOUD_PORT);
  }

  get balancer(): HostPort {
    return this.at(BALANCER_HOST, SERVICE_PORT);
  }

  /** Address of the machine with this number, counted from 1. */
  machine(number: number): HostPort {
    return this.at(MACHINES_HOST, FIRST_MACHINE_PORT + number);
  }

  private at(lastOctet: number, port: number): HostPort {
    return { host: `${this.prefix}.${lastOctet}`, port };
  }
}
