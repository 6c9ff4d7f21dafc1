/** Begins and ends faults of the simulated state service. */
import type { StateService } from '../../stand-ins/index.js';
import type { SimulatedController } from '../controllers.js';
import type { StateFault } from '../scenario.js';
import { makeEffect, type FaultEffect } from './effect.js';
import { OverlapCounter } from './overlap-counter.js';
import { repeatRequests } from './repeated-requests.js';
import { type Roles, targetControllers } from './targets.js';

/** Faults of the state service. Faults of the same kind may overlap. */
export class StateFaults {
  private readonly overlap = new OverlapCounter<string>();

  constructor(
    private readonly state: StateService,
    private readonly controllers: SimulatedController[],
  ) {}

  begin(fault: StateFault, roles: Roles): FaultEffect {
    switch (fault.kind) {
      case 'state-limits':
        this.state.changeLimits(fault.limits);
        return makeEffect({});
      case 'state-outage':
        return this.outage();
      case 'state-refuses':
        return this.refuse(targetControllers(this.controllers, fault.controllers, roles));
      case 'state-slow':
        return this.slow(fault.latencyMs);
      case 'late-writes':
        return this.loseAnswers((state) => {
          state.beginLateTransactions(fault.share, fault.delayS);
        });
      case 'repeated-writes':
        return repeatRequests(this.state.repeatedRequests, fault);
      case 'lost-answers':
        return this.loseAnswers((state) => {
          state.beginLostReplies(fault.share);
        });
    }
  }

  private outage(): FaultEffect {
    const { state, controllers, overlap } = this;
    const start = () => {
      state.beginOutage();
    };
    const end = overlap.begin('outage', start, () => {
      state.endOutage();
    });
    return makeEffect({ controllers: controllers.map((c) => c.name), end });
  }

  private refuse(hit: SimulatedController[]): FaultEffect {
    const { state, overlap } = this;
    const ends = hit.map(({ host }) => {
      const start = () => {
        state.refuseClient(host.address);
      };
      return overlap.begin(host.name, start, () => {
        state.readmitClient(host.address);
      });
    });
    return makeEffect({
      controllers: hit.map((c) => c.name),
      end: () => {
        ends.forEach((end) => {
          end();
        });
      },
    });
  }

  private slow(latencyMs: [number, number]): FaultEffect {
    const { state } = this;
    state.setLatency({ usualMs: latencyMs, slowShare: 0, slowMs: latencyMs });
    return makeEffect({
      end: () => {
        state.setLatency();
      },
    });
  }

  private loseAnswers(start: (state: StateService) => void): FaultEffect {
    start(this.state);
    return makeEffect({
      end: () => {
        this.state.endReplyLoss();
      },
    });
  }
}
