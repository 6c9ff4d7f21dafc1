/** Selects the controller to which a worker sends its heartbeats. */
/** Name and address of a controller, as configured for the workers. */
export interface ControllerAddress {
  name: string;
  /** `host:port` */
  address: string;
}

/** The controller to which a worker sends its heartbeats; the first is chosen at random. */
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

  /** Selects the named controller. Returns false if the name is unknown or already selected. */
  select(name: string | null): boolean {
    const index = this.controllers.findIndex((node) => node.name === name);
    if (index < 0 || index === this.index) return false;
    this.index = index;
    return true;
  }
}
