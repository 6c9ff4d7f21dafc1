import type { MachineType } from '#wire';
import { PrefixCache, StateClient, TYPES_KEY } from '#store';

/** The machine types that can be rented, recorded for the controllers that don't ask the cloud. */
export class MachineTypes {
  private types: MachineType[] = [];

  constructor(
    private readonly client: StateClient,
    /** Holds the record of the types. */
    private readonly world: PrefixCache,
  ) {
    world.changes.subscribe(({ key, value }) => {
      if (key === TYPES_KEY && value) this.types = value as MachineType[];
    });
  }

  /** Empty until they are known. */
  all(): MachineType[] {
    return this.types;
  }

  /** Records the types as the cloud has just listed them, if their nominal sizes differ. */
  async publish(types: MachineType[], signal: AbortSignal): Promise<void> {
    if (this.types.length > 0 && sizesOf(types) === sizesOf(this.types)) {
      this.types = types;
      return;
    }
    const out = await this.client.txn([], [{ put: TYPES_KEY, value: types }], true, signal);
    if (out.ok) this.world.learn(TYPES_KEY, types, out.revision);
  }
}

/** Prices and times vary; these do not. */
function sizesOf(types: MachineType[]): string {
  return JSON.stringify(types.map((t) => [t.name, t.cpus, t.gpus, t.memory, t.zones]));
}
