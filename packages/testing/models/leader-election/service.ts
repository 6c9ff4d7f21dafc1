import { GRANT_S } from './timing.js';

/** One time at which a controller took the part. */
export interface Claim {
  node: string;
  life: number;
  term: number;
  at: number;
}

/** The state service: one revision, the part's holder, and the grants that it hangs on. */
export class ServiceModel {
  revision = 10;
  holder: Claim | null = null;
  down = false;
  readonly claims: Claim[] = [];
  readonly cancelled: { job: string; revision: number }[] = [];
  private readonly grants = new Map<number, number>();

  renew(life: number, now: number): void {
    this.grants.set(life, now + GRANT_S);
  }

  claim(node: string, life: number, now: number): Claim {
    this.holder = { node, life, term: ++this.revision, at: now };
    this.claims.push(this.holder);
    return this.holder;
  }

  cancel(job: string): void {
    this.cancelled.push({ job, revision: ++this.revision });
  }

  /** Grants run out while the service is up, and have their full time again after an outage. */
  step(now: number, down: boolean): void {
    if (this.down && !down) {
      for (const life of this.grants.keys()) this.grants.set(life, now + GRANT_S);
    }
    this.down = down;
    if (down || this.holder === null) return;
    if (now > (this.grants.get(this.holder.life) ?? 0)) {
      this.holder = null;
      this.revision++;
    }
  }
}
