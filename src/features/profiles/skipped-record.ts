/** Why the fold passed over a record. */

/** `newer`: a later version of the software wrote it; `invalid`: nobody can read it. */
export type SkippedRecord = {
	readonly kind: 'newer' | 'invalid';
	readonly detail: string;
};
