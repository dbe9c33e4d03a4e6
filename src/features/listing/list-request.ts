/** A request for the target list. */

/** Sent by an entry to the reader of its zone. */
export type ListRequest = {
	/** Assigned by the requester. */
	readonly requestId: number;
	/** The first offset that the requester lacks; undefined if it needs the whole list. */
	readonly from: number | undefined;
};
