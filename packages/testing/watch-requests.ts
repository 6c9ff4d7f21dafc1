import http from 'node:http';
import type net from 'node:net';
import type { HostPort, Network, Runtime } from '#wire';

/** Called for each request to a server, with the address on which the server listens. */
export type RequestListener = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  address: HostPort,
) => void;

/** Wraps a runtime so that `onRequest` is called for each request to its HTTP servers. */
export function watchRequests(runtime: Runtime, onRequest: RequestListener): Runtime {
  const network: Network = {
    connect: (address) => runtime.network.connect(address),
    listen: (server: net.Server, address) => {
      if (server instanceof http.Server) {
        server.on('request', (req, res) => onRequest(req, res, address));
      }
      return runtime.network.listen(server, address);
    },
  };
  return { clock: runtime.clock, network, random: () => runtime.random() };
}
