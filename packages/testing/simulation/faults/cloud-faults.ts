/** Faults of the cloud. */
import { QUICK_BOOTS, type CloudService } from '../../stand-ins/index.js';
import type { CloudFault } from '../scenario.js';
import { effect, type FaultEffect } from './effect.js';
import { Overlap } from './overlap.js';

/** Faults of the cloud's interface; outages may overlap. */
export class CloudFaults {
  private readonly overlap = new Overlap<string>();

  constructor(private readonly cloud: CloudService) {}

  begin(fault: CloudFault): FaultEffect {
    const { cloud } = this;
    switch (fault.kind) {
      case 'cloud-outage': {
        const start = () => {
          cloud.beginOutage();
        };
        return effect({
          end: this.overlap.begin('outage', start, () => {
            cloud.endOutage();
          }),
        });
      }
      case 'late-rentals':
        cloud.beginLateRequests(fault.share, fault.delayS);
        return effect({
          end: () => {
            cloud.endLateRequests();
          },
        });
      case 'quick-boots':
        cloud.setBootProfile(QUICK_BOOTS);
        return effect({
          end: () => {
            cloud.setBootProfile();
          },
        });
    }
  }
}
