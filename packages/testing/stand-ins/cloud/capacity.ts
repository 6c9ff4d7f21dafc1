/** Limits on the machines that the cloud can provision. */
/** How many machines of one type, zone and kind the cloud has in all. */
export interface CapacityLimit {
  /** Absent: any. */
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

/** What the cloud can still provision; a kind of machine that no limit covers is unlimited. */
export class Capacity {
  constructor(private limits: CapacityLimit[]) {}

  setLimits(limits: CapacityLimit[]): void {
    this.limits = limits;
  }

  /** Machines of that kind that may still be provisioned, given those that are. */
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
