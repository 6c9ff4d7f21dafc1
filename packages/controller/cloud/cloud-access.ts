/** Access to the cloud API, shared by all components that send requests to it. */
import type { Budget } from '#store';
import type { CloudClient } from '#wire';

/** A client of the cloud API, and the share of the allowed request rate that this controller may use. */
export interface CloudAccess {
  cloud: CloudClient;
  /** Limits the rate of requests; provisioning and deprovisioning take precedence over reads. */
  budget: Budget;
}
