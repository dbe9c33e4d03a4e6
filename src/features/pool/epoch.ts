/** Orders the requests of a peer relative to losses and stalls. */

/**
 * `losses` counts how often an entry has declared the peer lost, `pauses` how often the entry itself has stalled. A request is valid
 * only in the epoch in which it was sent: each change stops the peer's runs, and its callers may have resubmitted elsewhere.
 */
export type Epoch = {readonly losses: number; readonly pauses: number};
