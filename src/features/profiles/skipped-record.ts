/** Reason for skipping a record. */

/** `newer`: written by a later version of the software; `invalid`: fails validation. */
export type SkippedRecord = {
	readonly kind: 'newer' | 'invalid';
	readonly detail: string;
};
