/** The terms on which one entry takes another one's requests. */

/**
 * `losses` counts how often an entry has taken the other one as lost, `pauses` how often it has found that it was out of touch
 * itself. A request is valid only in the epoch in which it was sent: at each change, what the other entry had asked for was
 * stopped or given up, and its callers may have submitted elsewhere since.
 */
export type Epoch = {readonly losses: number; readonly pauses: number};
