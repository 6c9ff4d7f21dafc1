import type { CloudClient } from '#wire';
import { Budget } from '#store';

/** The cloud's interface, within this controller's share of the rate that the cloud allows. */
export interface CloudAccess {
  cloud: CloudClient;
  /** Requests that may be sent; releases and rents go before lists. */
  budget: Budget;
}
