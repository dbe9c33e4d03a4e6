/** A part of the list of targets that one entry passes on to another. */

export type ListUpdate = {
	/** The question that it answers, as the asker numbered it. */
	readonly requestId: number;
	/** The offset from which on it tells all that changed; nothing where it's the whole list. */
	readonly from: number | undefined;
	/** The first offset that it doesn't cover. */
	readonly next: number;
	/** Packed, see `packRecords`. */
	readonly records: Uint8Array;
};
