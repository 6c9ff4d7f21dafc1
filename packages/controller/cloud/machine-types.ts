/** The machine types, shared by all controllers through records in the state service. */
import { type PrefixCache, sizeInJson, type StateClient, TYPES_KEY } from '#store';
import type { MachineType } from '#wire';

/** The machine types that can be provisioned, recorded for controllers that don't query the cloud. */
export class MachineTypes {
  private types: MachineType[] = [];
  /** The types in each record, by page number. */
  private readonly pages = new Map<number, MachineType[]>();

  constructor(
    private readonly client: StateClient,
    /** Cache of the keys that include the records of the types. */
    private readonly world: PrefixCache,
  ) {
    world.changes.subscribe(({ key, value }) => {
      const page = pageOf(key);
      if (page !== null) this.applyPage(page, value);
    });
  }

  /** All known types; empty until the records are read. */
  all(): MachineType[] {
    return this.types;
  }

  /**
   * Records the types of the cloud's catalog if a name, size or zone differs from the known types. Rejects if
   * the state service does not answer or refuses the request.
   */
  async publish(types: MachineType[], signal: AbortSignal): Promise<void> {
    if (this.types.length > 0 && sizesOf(types) === sizesOf(this.types)) {
      this.types = types;
      return;
    }
    const pages = typePages(types, this.client.limits.valueBytes);
    const puts = pages.map((value, page) => ({ put: typesKey(page), value }));
    const removed = [...this.pages.keys()].filter((page) => page >= pages.length);
    const changes = [...puts, ...removed.map((page) => ({ delete: typesKey(page) }))];
    const outcome = await this.client.txnUrgent([], changes, signal);
    if (!outcome.ok) return;
    for (const { put, value } of puts) this.world.applyLocal(put, value, outcome.revision);
  }

  private applyPage(page: number, value: unknown): void {
    if (value) this.pages.set(page, value as MachineType[]);
    else this.pages.delete(page);
    const inOrder = [...this.pages].sort(([one], [other]) => one - other);
    this.types = inOrder.flatMap(([, types]) => types);
  }
}

/** The key of a page. The first page has the key under which older versions find all types. */
function typesKey(page: number): string {
  return page === 0 ? TYPES_KEY : `${TYPES_KEY}/${page}`;
}

/** The page number in the key of a type record; null for other keys. */
function pageOf(key: string): number | null {
  if (key === TYPES_KEY) return 0;
  return key.startsWith(`${TYPES_KEY}/`) ? Number(key.slice(TYPES_KEY.length + 1)) : null;
}

/** Splits the types into pages of at most `valueBytes` bytes; a type larger than that is alone on its page. */
function typePages(types: MachineType[], valueBytes: number): MachineType[][] {
  let page: MachineType[] = [];
  const pages = [page];
  for (const type of types) {
    if (page.length > 0 && sizeInJson([...page, type]) > valueBytes) {
      page = [];
      pages.push(page);
    }
    page.push(type);
  }
  return pages;
}

/** Serialises the constant fields of the types for comparison; prices and times vary and are left out. */
function sizesOf(types: MachineType[]): string {
  return JSON.stringify(
    types.map(({ name, cpus, gpus, memory, zones }) => [name, cpus, gpus, memory, zones]),
  );
}
