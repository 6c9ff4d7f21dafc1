import type { DeploymentSettings } from '#controller';

type Limits = DeploymentSettings['limits'];

/** Units of figures; `processor s` and `processor ms` are processor time, `s` and `ms` elapsed time. */
export type Unit = 'cores' | 'processor s' | 'processor ms' | 's' | 'ms' | 'MB' | 'a second' | '';

/** A measured value with its name, its unit and its relation to the controller's limit. */
export interface Figure {
  name: string;
  value: number;
  unit: Unit;
  /**
   * The value relative to the controller's limit: cores and MB as a share of the limit, processor time as the
   * seconds that it takes at the limit. Null if no limit applies.
   */
  ofLimit: number | null;
}

/** Collects figures and relates them to a controller's limits. */
export class Figures {
  readonly all: Figure[] = [];

  constructor(private readonly limits: Limits) {}

  cores(name: string, value: number): this {
    return this.add(name, value, 'cores', value / this.limits.cpu_share);
  }

  processorS(name: string, value: number): this {
    return this.add(name, value, 'processor s', value / this.limits.cpu_share);
  }

  processorMs(name: string, value: number): this {
    return this.add(name, value, 'processor ms', value / 1000 / this.limits.cpu_share);
  }

  megabytes(name: string, value: number): this {
    return this.add(name, value, 'MB', value / this.limits.memory_mb);
  }

  seconds(name: string, value: number): this {
    return this.add(name, value, 's', null);
  }

  rate(name: string, value: number): this {
    return this.add(name, value, 'a second', null);
  }

  count(name: string, value: number): this {
    return this.add(name, value, '', null);
  }

  private add(name: string, value: number, unit: Unit, ofLimit: number | null): this {
    this.all.push({ name, value, unit, ofLimit });
    return this;
  }
}
