/** Access to the cloud's interface, shared by everything that sends requests to it. */
import type { Budget } from '#store';
import type { CloudClient } from '#wire';

/** The cloud's interface, within this controller's share of the rate that the cloud allows. */
export interface CloudAccess {
  cloud: CloudClient;
  /** Requests that may be sent; those that provision and deprovision machines go before reads. */
  budget: Budget;
}
