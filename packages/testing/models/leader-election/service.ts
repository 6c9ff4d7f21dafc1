import { ELECTION_LEASE_S } from './timing.js';

/** One time at which a controller took the part. */
export interface Campaign {
  node: string;
  incarnation: number;
  term: number;
  at: number;
}

/** The state service: one revision, the part's holder, and the grants that it hangs on. */
export class ServiceModel {
  revision = 10;
  leader: Campaign | null = null;
  down = false;
  readonly claims: Campaign[] = [];
  readonly cancelled: { job: string; revision: number }[] = [];
  private readonly grants = new Map<number, number>();

  renew(incarnation: number, now: number): void {
    this.grants.set(incarnation, now + ELECTION_LEASE_S);
  }

  campaign(node: string, incarnation: number, now: number): Campaign {
    this.leader = { node, incarnation, term: ++this.revision, at: now };
    this.claims.push(this.leader);
    return this.leader;
  }

  cancel(job: string): void {
    this.cancelled.push({ job, revision: ++this.revision });
  }

  /** Grants run out while the service is up, and have their full time again after an outage. */
  step(now: number, down: boolean): void {
    if (this.down && !down) {
      for (const incarnation of this.grants.keys())
        this.grants.set(incarnation, now + ELECTION_LEASE_S);
    }
    this.down = down;
    if (down || this.leader === null) return;
    if (now > (this.grants.get(this.leader.incarnation) ?? 0)) {
      this.leader = null;
      this.revision++;
    }
  }
}
