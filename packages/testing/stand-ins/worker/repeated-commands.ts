/** A fault in which direct commands that a worker has executed and answered arrive once more, late. */
import { sleep, type Runtime } from '#wire';
import { uniform, type Span } from '../distributions.js';

/** Share of executed commands that arrive once more, and when. */
export interface RepeatedCommandFault {
  /** Fraction of the commands, from 0 to 1. */
  share: number;
  /** Seconds from the answer to a command until its copy arrives. */
  delayS: Span;
}

/** Selects the commands that arrive once more, and delays their copies. */
export class RepeatedCommands {
  private fault: RepeatedCommandFault | null = null;

  constructor(private readonly runtime: Runtime) {}

  begin(fault: RepeatedCommandFault): void {
    this.fault = fault;
  }

  /** Ends the fault. Copies that are delayed still arrive. */
  end(): void {
    this.fault = null;
  }

  /** Resolves when a copy of the command that was just answered arrives, with false if there is no copy. */
  async nextCopy(): Promise<boolean> {
    const { fault, runtime } = this;
    if (fault === null || runtime.random() >= fault.share) return false;
    const delayS = uniform(() => runtime.random(), fault.delayS);
    await sleep(runtime.clock, delayS * 1000);
    return true;
  }
}
