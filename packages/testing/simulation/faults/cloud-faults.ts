/** Begins and ends faults of the simulated cloud. */
import { QUICK_BOOTS, type CloudService } from '../../stand-ins/index.js';
import type { CloudFault } from '../scenario.js';
import { makeEffect, type FaultEffect } from './effect.js';
import { OverlapCounter } from './overlap-counter.js';
import { repeatRequests } from './repeated-requests.js';

/** Faults of the cloud API. Outages may overlap. */
export class CloudFaults {
  private readonly overlap = new OverlapCounter<string>();

  constructor(private readonly cloud: CloudService) {}

  begin(fault: CloudFault): FaultEffect {
    const { cloud } = this;
    switch (fault.kind) {
      case 'cloud-outage': {
        const start = () => {
          cloud.beginOutage();
        };
        return makeEffect({
          end: this.overlap.begin('outage', start, () => {
            cloud.endOutage();
          }),
        });
      }
      case 'late-rentals':
        cloud.beginLateRequests(fault.share, fault.delayS);
        return makeEffect({
          end: () => {
            cloud.endLateRequests();
          },
        });
      case 'repeated-rentals':
        return repeatRequests(cloud.repeatedRequests, fault);
      case 'quick-boots':
        cloud.setBootProfile(QUICK_BOOTS);
        return makeEffect({
          end: () => {
            cloud.setBootProfile();
          },
        });
    }
  }
}
