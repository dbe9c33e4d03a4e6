/** How an entry became the arbiter of its zone. */
import type {ElectionMessage} from './election-message.js';

/**
 * `handover`: the previous arbiter passed on its leases; `takeover`: it didn't, so slots with unknown leases may
 * exist.
 */
export type RoleTransfer =
	| {readonly kind: 'handover'; readonly held: Extract<ElectionMessage, {kind: 'handover'}>['held']}
	| {readonly kind: 'takeover'};
