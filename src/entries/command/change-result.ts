/** Result of an operator's change. */
import type {Revision} from '../../base/revision.js';

/** The result that a change command reports. */
export type ChangeResult =
	| {readonly kind: 'inForce'; readonly revision: Revision; readonly entries: number; readonly milliseconds: number}
	| {readonly kind: 'notYetEverywhere'; readonly revision: Revision; readonly entries: number; readonly missing: readonly string[]}
	| {readonly kind: 'rejected'; readonly cause: string; readonly winner?: Revision}
	| {readonly kind: 'notAppended'; readonly detail: string}
	| {readonly kind: 'unknown'; readonly changeId: string; readonly detail: string};
