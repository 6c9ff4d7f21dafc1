/** Which controller a worker sends its heartbeats to. */
/** A controller as workers know it. */
export interface ControllerAddress {
  name: string;
  /** `host:port` */
  address: string;
}

/** The controller that a worker sends its heartbeats to, and the next one to try. */
export class NodeChoice {
  private index: number;

  constructor(
    private readonly nodes: ControllerAddress[],
    random: () => number,
  ) {
    this.index = Math.floor(random() * nodes.length);
  }

  get current(): ControllerAddress {
    return this.nodes[this.index];
  }

  moveToNext(): void {
    this.index = (this.index + 1) % this.nodes.length;
  }

  /** Goes to the named node; false if there is none but the present one. */
  moveTo(name: string | null): boolean {
    const index = this.nodes.findIndex((node) => node.name === name);
    if (index < 0 || index === this.index) return false;
    this.index = index;
    return true;
  }
}
