/** How an entry came to be its zone's arbiter. */
import type {TenureMessage} from './tenure-message.js';

/** `handover`: the predecessor told what is lent; `takeover`: nobody did, and slots may be lent that nobody knows of. */
export type Succession =
	| {readonly kind: 'handover'; readonly held: Extract<TenureMessage, {kind: 'handover'}>['held']}
	| {readonly kind: 'takeover'};
