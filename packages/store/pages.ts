/** Reads of all entries under a prefix, which the state service answers page by page. */
import type { Entry } from '#wire';
import type { StateClient } from './state-client.js';

/** Some entries of one read, and the revision of the store at that time. */
interface Page {
  entries: Entry[];
  more: boolean;
  revision: number;
}

/**
 * All entries under a prefix, page by page; there is at least one page. Throws as
 * `StateClient.callUrgent` does.
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

/** All entries under a prefix; rejects as `StateClient.callUrgent` does. */
export async function listAll(
  client: StateClient,
  prefix: string,
  signal?: AbortSignal,
): Promise<Entry[]> {
  const entries: Entry[] = [];
  for await (const page of listPages(client, prefix, signal)) entries.push(...page.entries);
  return entries;
}
