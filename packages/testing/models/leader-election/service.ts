/** The state service of the leader election model. */
import { ELECTION_LEASE_S } from './timing.js';

/** A won campaign, which begins a term. */
export interface Campaign {
  node: string;
  incarnation: number;
  term: number;
  at: number;
}

/** The state service: its revision, the current leader, and the election leases that the leader's key depends on. */
export class ServiceModel {
  revision = 10;
  leader: Campaign | null = null;
  down = false;
  readonly campaigns: Campaign[] = [];
  readonly cancelled: { job: string; revision: number }[] = [];
  private readonly leases = new Map<number, number>();

  renew(incarnation: number, now: number): void {
    this.leases.set(incarnation, now + ELECTION_LEASE_S);
  }

  campaign(node: string, incarnation: number, now: number): Campaign {
    this.leader = { node, incarnation, term: ++this.revision, at: now };
    this.campaigns.push(this.leader);
    return this.leader;
  }

  cancel(job: string): void {
    this.cancelled.push({ job, revision: ++this.revision });
  }

  /** Expires election leases. After an outage each lease gets its full length again. */
  step(now: number, down: boolean): void {
    if (this.down && !down) {
      for (const incarnation of this.leases.keys())
        this.leases.set(incarnation, now + ELECTION_LEASE_S);
    }
    this.down = down;
    if (down || this.leader === null) return;
    if (now > (this.leases.get(this.leader.incarnation) ?? 0)) {
      this.leader = null;
      this.revision++;
    }
  }
}
