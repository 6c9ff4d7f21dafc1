/** The invariants of the leader election model. */
import type { LeadershipCluster } from './cluster.js';
import type { SeededLeadershipFault, LeadershipRun } from './model.js';
import type { NodeModel } from './node.js';
import { observedStatuses } from './observed-statuses.js';
import { CANCEL_S, FORMER_LEADER_S, GRACE_S, STEP_S } from './timing.js';

/** Checks that a controller with a valid leader lease, or one that renews leases for an ended leader, is safe. */
export class LeadershipChecks {
  readonly result: LeadershipRun = { violations: new Set(), attestedSteps: 0, standbySteps: 0 };

  constructor(
    private readonly cluster: LeadershipCluster,
    private readonly seededFault: SeededLeadershipFault,
  ) {}

  check(node: NodeModel): void {
    const { cluster, result } = this;
    const { now } = cluster;
    const statuses = observedStatuses(node, this.seededFault);
    const leaderLease = node.leaderLease(now, statuses);
    if (leaderLease === 'attested') result.attestedSteps++;
    if (leaderLease !== undefined && leaderLease !== 'none') this.checkActing(node, node.term);
    if (!node.renewsForLeader(now, statuses)) return;
    result.standbySteps++;
    this.checkActing(node, node.leader.term);
    const leader = cluster.node(node.leader.name);
    if (leader?.leaseCheck && leader.term === node.leader.term) {
      result.violations.add('renews-beside-leader');
    }
  }

  private checkActing(node: NodeModel, term: number): void {
    const { cluster, result } = this;
    const { now } = cluster;
    for (const campaign of cluster.service.campaigns) {
      // A successor that has crashed takes no actions.
      const isRunning = cluster.node(campaign.node)?.incarnation === campaign.incarnation;
      const isSuccessor =
        isRunning && campaign.term > term && campaign.incarnation !== node.incarnation;
      if (isSuccessor && now > campaign.at + FORMER_LEADER_S) {
        result.violations.add('acts-beside-successor');
      }
    }
    for (const { job, at } of cluster.confirmed) {
      const recent = now - at < 2 * CANCEL_S;
      if (recent && now > at + GRACE_S + STEP_S && !node.knowsCancellation(job)) {
        result.violations.add('acts-on-unknown-cancellation');
      }
    }
  }
}
