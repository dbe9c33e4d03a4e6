/** Fault kinds of the pause schedule. */

/** `pauses` suspend one entry or about a third of them; `companions` are injected while entries are suspended. */
export const pauseKinds = {
	pauses: ['entry-pause', 'entry-pause', 'entries-pause'],
	companions: ['all-reset', 'all-reset', 'peers-reset', 'peers-silent', 'peers-cut', 'worker-late', 'worker-silent', 'entry-kill'],
} as const;
