import http from 'node:http';
import type net from 'node:net';
import type { HostPort, Network, Runtime } from '#wire';

/** Told of each request to a server, and of where the server listens. */
export type RequestListener = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  address: HostPort,
) => void;

/** The same runtime, but each request to the HTTP servers that listen on it is told. */
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
