/** Type codes of pool messages on the wire. */

/** The first element of each encoded message. Codes are stable; retired ones must not be reused. */
export const messageCode = {
	state: 0,
	run: 2,
	/** A run of the same job as the preceding run of the batch; carries only the fields that differ. */
	nextRun: 3,
	report: 4,
	stop: 5,
	handover: 6,
	adopted: 7,
	wantRouting: 8,
	routing: 9,
	entries: 10,
	lost: 11,
	loss: 12,
	askList: 13,
	list: 14,
	adoptionHeard: 15,
} as const;
