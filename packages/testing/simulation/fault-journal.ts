/** Record of the faults of a run and of what each has hit. */
import type { FaultEffect } from './faults/effect.js';
import type { LeadershipChange } from './leadership-history.js';
import type { Fault } from './scenario.js';

/** A fault that has begun, with the controllers, machines and jobs that it hit. */
export interface FaultRecord {
  fault: Fault;
  fromS: number;
  /** Equal to `fromS` for a fault without a duration. */
  untilS: number;
  /** Leader of the shard when the fault began; null if there was none. */
  leader: LeadershipChange | null;
  controllers: string[];
  machines: string[];
  jobs: string[];
}

/** All faults that have begun, in the order in which they began. */
export class FaultJournal {
  readonly records: FaultRecord[] = [];

  recordStart(
    fault: Fault,
    { controllers, machines, jobs }: FaultEffect,
    leader: LeadershipChange | null,
    nowS: number,
  ): void {
    const untilS = 'forS' in fault ? nowS + fault.forS : nowS;
    this.records.push({ fault, fromS: nowS, untilS, leader, controllers, machines, jobs });
  }

  /** Faults of one kind, in the order in which they began. */
  of<K extends Fault['kind']>(kind: K): (FaultRecord & { fault: Fault & { kind: K } })[] {
    return this.records.filter(
      (record): record is FaultRecord & { fault: Fault & { kind: K } } =>
        record.fault.kind === kind,
    );
  }
}
