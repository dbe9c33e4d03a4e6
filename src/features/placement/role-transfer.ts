/** How an entry came to be its zone's arbiter. */
import type {ElectionMessage} from './election-message.js';

/** `handover`: the predecessor told what is lent; `takeover`: nobody did, and slots may be lent that nobody knows of. */
export type RoleTransfer =
	| {readonly kind: 'handover'; readonly held: Extract<ElectionMessage, {kind: 'handover'}>['held']}
	| {readonly kind: 'takeover'};
