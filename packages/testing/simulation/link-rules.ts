/** Rules that hold back, drop or refuse traffic between hosts. */
import type { SimulatedHost } from './host.js';

/** What happens to connections while a rule is in force. */
export type LinkEffect =
  /** Open connections are reset, new ones refused. */
  | 'refuse'
  /** Packets wait and arrive in order once the rule ends. */
  | 'hold'
  /** Packets are lost without an error; a connection that has lost one stays silent for good. */
  | 'drop'
  /** What the opening side sends arrives, what it should receive is lost. */
  | 'drop-answers';

/** Whether a rule is about the host. */
export type HostFilter = (host: SimulatedHost) => boolean;

/** Applies to the connections that hosts of one kind open to hosts of another. */
export interface LinkRule {
  opener: HostFilter;
  acceptor: HostFilter;
  effect: LinkEffect;
}

/** The rules in force. `version` changes with each change of them. */
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

  /** The strongest effect on connections from one host to another, null if there is none. */
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
