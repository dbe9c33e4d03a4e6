/** How messages of the pool are told apart on the wire. */

/** The first element of each encoded message. A number keeps its meaning; a retired one isn't used again. */
export const messageCode = {
	state: 0,
	run: 2,
	/** A run of the same job as the run before it in the same batch: only what differs follows. */
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
