/** Finds connections to peers that are dead although nothing has closed them. */
import type { PeerLink } from '#peer';
import type { ControllerServices } from '../services.js';
import { CURRENT_STATUS_INTERVALS, isReachable } from './peer-status.js';
import type { StatusExchange } from './status-exchange.js';

/** Heartbeat intervals within which a reachable peer should have read one of our status frames. */
const MAX_UNREAD_INTERVALS = 8;

/** What the monitor compares, and how it replaces a connection. */
export interface DeadConnectionMonitorOptions extends Pick<
  ControllerServices,
  'runtime' | 'settings'
> {
  peers: PeerLink;
  statuses: StatusExchange;
}

/**
 * Dials a peer again that sends to us but reads nothing of ours: its status frames echo the newest
 * frame that it has read. A network cut may have swallowed the sign that our connection is dead.
 */
export class DeadConnectionMonitor {
  private readonly currentStatusS: number;
  private readonly maxUnreadS: number;

  constructor(private readonly options: DeadConnectionMonitorOptions) {
    const { report_s: heartbeatIntervalS } = options.settings.deployment.workers;
    this.currentStatusS = CURRENT_STATUS_INTERVALS * heartbeatIntervalS;
    this.maxUnreadS = MAX_UNREAD_INTERVALS * heartbeatIntervalS;
  }

  /** Dials all peers again whose connections seem dead. */
  redial(): void {
    const { runtime, settings, statuses, peers } = this.options;
    const now = runtime.clock.now();
    for (const { host_name: peer } of settings.peers) {
      const status = statuses.statusOf(peer);
      if (!isReachable(status, now, this.currentStatusS)) continue;
      if (now - status.statedAfter > this.maxUnreadS) peers.redial(peer, this.maxUnreadS);
    }
  }
}
