/** Detects connections to peers that are dead although neither end has closed them. */
import type { PeerLink } from '#peer';
import type { ControllerServices } from '../services.js';
import { CURRENT_STATUS_INTERVALS, isReachable } from './peer-status.js';
import type { StatusExchange } from './status-exchange.js';

/** Heartbeat intervals within which a reachable peer should have read a status frame of this controller. */
const MAX_UNREAD_INTERVALS = 8;

/** Dependencies of a `DeadConnectionMonitor`. */
export interface DeadConnectionMonitorOptions extends Pick<
  ControllerServices,
  'runtime' | 'settings'
> {
  peers: PeerLink;
  statuses: StatusExchange;
}

/**
 * Dials a peer again if its status frames arrive but show that it receives none of this controller's: a status
 * frame echoes the newest frame that its sender has read. A network partition may have hidden that the
 * connection to the peer is dead.
 */
export class DeadConnectionMonitor {
  private readonly currentStatusS: number;
  private readonly maxUnreadS: number;

  constructor(private readonly options: DeadConnectionMonitorOptions) {
    const { report_s: heartbeatIntervalS } = options.settings.deployment.workers;
    this.currentStatusS = CURRENT_STATUS_INTERVALS * heartbeatIntervalS;
    this.maxUnreadS = MAX_UNREAD_INTERVALS * heartbeatIntervalS;
  }

  /** Dials all peers again whose connections appear to be dead. */
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
