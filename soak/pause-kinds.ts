/** Fault kinds of the pause schedule. */

/**
 * `pauses` stop one entry or about a third of them; `companions` are injected while entries are stopped. `seedOffset` separates
 * the random sequence from those of the other schedules and the callers.
 */
export const pauseKinds = {
	pauses: ['entry-pause', 'entry-pause', 'entries-pause'],
	companions: ['all-reset', 'all-reset', 'peers-reset', 'peers-silent', 'peers-cut', 'worker-late', 'worker-silent', 'entry-kill'],
	shortestMilliseconds: 3000,
	seedOffset: 2,
} as const;
