/** Limits on the machines that the cloud can provision. */
/** Maximum number of machines of a type, in a zone, spot or on demand. An absent field matches any value. */
export interface CapacityLimit {
  type?: string;
  zone?: string;
  spot?: boolean;
  machines: number;
}

interface MachineKind {
  type: string;
  zone: string;
  spot: boolean;
}

/** How many more machines the cloud can provision. Machines that no limit covers are unlimited. */
export class Capacity {
  constructor(private limits: CapacityLimit[]) {}

  setLimits(limits: CapacityLimit[]): void {
    this.limits = limits;
  }

  /** Number of machines of the wanted kind that may still be provisioned, beside those already provisioned. */
  remaining(wanted: MachineKind, provisioned: Iterable<MachineKind>): number {
    const existing = [...provisioned];
    const remainders = this.limits
      .filter((limit) => matches(limit, wanted))
      .map(
        (limit) => limit.machines - existing.filter((machine) => matches(limit, machine)).length,
      );
    return Math.max(0, Math.min(Infinity, ...remainders));
  }
}

function matches(limit: CapacityLimit, kind: MachineKind): boolean {
  return (
    (limit.type ?? kind.type) === kind.type &&
    (limit.zone ?? kind.zone) === kind.zone &&
    (limit.spot ?? kind.spot) === kind.spot
  );
}
