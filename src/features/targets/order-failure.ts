/** Why an order to a target brought no answer of its own. */

/**
 * - `fenced`: another owner with a higher token has been there; nothing was done.
 * - `replaced`: another life answers at the address; this one is gone, with all that it ran.
 * - `unhealthy`: the target refused for its own reasons; nothing was done.
 * - `unreachable`: nothing listens there, or no connection could be made; nothing was done.
 * - `unanswered`: it may have been done, or may be done later.
 * - `rejected`: the target did not accept the order as it was written; nothing was done.
 */
export type OrderFailure = {readonly kind: 'fenced' | 'replaced' | 'unhealthy' | 'unreachable' | 'unanswered' | 'rejected'; readonly detail: string};
