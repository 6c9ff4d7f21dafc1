/** An HTTP server on the loopback interface, and requests to it, for tests of handlers. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Starts a server; `close` stops it and closes all connections. */
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

/** Sends the bytes as the body of a POST request; resolves with the status code of the response. */
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
