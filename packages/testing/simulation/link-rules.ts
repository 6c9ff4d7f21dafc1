/** Rules that hold back, drop or refuse traffic between hosts. */
import type { SimulatedHost } from './host.js';

/** Effect of a rule on connections while it is in force. */
export type LinkEffect =
  /** Open connections are reset, new ones refused. */
  | 'refuse'
  /** Packets are held, and sent in order once the rule is removed. */
  | 'hold'
  /** Packets are lost without an error. A direction that has lost a packet delivers nothing more. */
  | 'drop'
  /** Data from the opening side arrives; data from the accepting side is lost. */
  | 'drop-answers';

/** Whether a rule applies to the host. */
export type HostFilter = (host: SimulatedHost) => boolean;

/** A rule for connections from hosts that match `opener` to hosts that match `acceptor`. */
export interface LinkRule {
  opener: HostFilter;
  acceptor: HostFilter;
  effect: LinkEffect;
}

/** The rules in force. `version` changes whenever a rule is added or removed. */
export class LinkRules {
  version = 0;
  private readonly rules = new Set<LinkRule>();

  add(rule: LinkRule): void {
    this.rules.add(rule);
    this.version++;
  }

  remove(rule: LinkRule): void {
    this.rules.delete(rule);
    this.version++;
  }

  /** Strongest effect on connections from one host to another; null if no rule applies. */
  effectOn(opener: SimulatedHost, acceptor: SimulatedHost): LinkEffect | null {
    let strongest: LinkEffect | null = null;
    for (const rule of this.rules) {
      if (!rule.opener(opener) || !rule.acceptor(acceptor)) continue;
      if (strongest === null || STRENGTH[rule.effect] > STRENGTH[strongest]) {
        strongest = rule.effect;
      }
    }
    return strongest;
  }
}

const STRENGTH: Record<LinkEffect, number> = { 'drop-answers': 0, hold: 1, drop: 2, refuse: 3 };
