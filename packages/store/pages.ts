/** Lists all entries under a key prefix; the state service answers in pages. */
import type { Entry } from '#wire';
import type { StateClient } from './state-client.js';

/** One page of a listing, and the store's revision when the page was read. */
interface Page {
  entries: Entry[];
  more: boolean;
  revision: number;
}

/**
 * Yields all entries under a prefix, page by page; at least one page. Throws the errors of
 * `StateClient.callUrgent`.
 */
export async function* listPages(
  client: StateClient,
  prefix: string,
  signal?: AbortSignal,
): AsyncGenerator<Page> {
  let after: string | null = null;
  for (;;) {
    const from: string | null = after;
    const page: Page = await client.callUrgent(signal, (api) => api.list(prefix, from, signal));
    yield page;
    after = page.entries.at(-1)?.key ?? null;
    if (!page.more || after === null) return;
  }
}

/** Returns all entries under a prefix; rejects with the errors of `StateClient.callUrgent`. */
export async function listAll(
  client: StateClient,
  prefix: string,
  signal?: AbortSignal,
): Promise<Entry[]> {
  const entries: Entry[] = [];
  for await (const page of listPages(client, prefix, signal)) entries.push(...page.entries);
  return entries;
}
