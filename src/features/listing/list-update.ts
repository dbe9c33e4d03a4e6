/** An update of the target list, sent from a reader to another entry. */

/** Either the changes from an offset on, or the whole list. */
export type ListUpdate = {
	/** The request that this update answers. */
	readonly requestId: number;
	/** The first offset whose changes are included; undefined for the whole list. */
	readonly from: number | undefined;
	/** The first offset that is not covered. */
	readonly next: number;
	/** Encoded by `packRecords`. */
	readonly records: Uint8Array;
};
