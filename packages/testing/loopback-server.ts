/** A plain HTTP server on the machine's own loopback, and requests to it, for tests of handlers. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Serves until `close` is called, which also ends all connections. */
export async function serveOnLoopback(
  handler: http.RequestListener,
): Promise<{ port: number; close: () => void }> {
  const server = http.createServer(handler).listen(0, LOOPBACK);
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { port, close };
}

/** Sends a body as it stands; resolves with the status of the answer. */
export async function postBytes(port: number, path: string, body: Uint8Array): Promise<number> {
  return new Promise((resolve, reject) => {
    const request = http.request({ host: LOOPBACK, port, method: 'POST', path }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode ?? 0));
    });
    request.on('error', reject);
    request.end(body);
  });
}
