import type { OwnershipCluster } from './cluster.js';
import type { OwnershipFault, OwnershipRun } from './model.js';
import type { NodeModel } from './node.js';
import { statementsFor } from './statements.js';
import { CANCEL_S, FORMER_OWNER_S, GRACE_S, STEP_S } from './timing.js';

/** Whatever an owner does while it believes itself entitled must be harmless. */
export class OwnershipChecks {
  readonly result: OwnershipRun = { violations: new Set(), attestedSteps: 0, standbySteps: 0 };

  constructor(
    private readonly cluster: OwnershipCluster,
    private readonly fault: OwnershipFault,
  ) {}

  check(node: NodeModel): void {
    const { cluster, result } = this;
    const { now } = cluster;
    const statements = statementsFor(node, this.fault);
    const entitlement = node.entitlement(now, statements);
    if (entitlement === 'attested') result.attestedSteps++;
    if (entitlement !== undefined && entitlement !== 'none') this.checkActing(node, node.term);
    if (!node.renews(now, statements)) return;
    result.standbySteps++;
    this.checkActing(node, node.holder.term);
    const owner = cluster.node(node.holder.name);
    if (owner?.judge && owner.term === node.holder.term) {
      result.violations.add('renews-beside-owner');
    }
  }

  private checkActing(node: NodeModel, term: number): void {
    const { cluster, result } = this;
    const { now } = cluster;
    for (const claim of cluster.service.claims) {
      // One that has ended counts on nothing any more.
      const living = cluster.node(claim.node)?.life === claim.life;
      const successor = living && claim.term > term && claim.life !== node.life;
      if (successor && now > claim.at + FORMER_OWNER_S) {
        result.violations.add('acts-beside-successor');
      }
    }
    for (const { job, at } of cluster.confirmed) {
      const recent = now - at < 2 * CANCEL_S;
      if (recent && now > at + GRACE_S + STEP_S && !node.knows(job)) {
        result.violations.add('acts-on-unknown-cancellation');
      }
    }
  }
}
