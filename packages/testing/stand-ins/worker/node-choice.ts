/** Which controller a worker sends its heartbeats to. */
/** A controller as workers know it. */
export interface ControllerAddress {
  name: string;
  /** `host:port` */
  address: string;
}

/** The controller that a worker sends its heartbeats to, and the next one to try. */
export class ControllerSelector {
  private index: number;

  constructor(
    private readonly controllers: ControllerAddress[],
    random: () => number,
  ) {
    this.index = Math.floor(random() * controllers.length);
  }

  get current(): ControllerAddress {
    return this.controllers[this.index];
  }

  selectNext(): void {
    this.index = (this.index + 1) % this.controllers.length;
  }

  /** Goes to the named node; false if there is none but the present one. */
  select(name: string | null): boolean {
    const index = this.controllers.findIndex((node) => node.name === name);
    if (index < 0 || index === this.index) return false;
    this.index = index;
    return true;
  }
}
