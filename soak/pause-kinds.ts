/** What strikes a soak whose entries stand still for long. */

/** One entry or a third of them pause; meanwhile connections between entries break, workers are late, another entry dies. */
export const pauseKinds = {
	pauses: ['entry-pause', 'entry-pause', 'entries-pause'],
	companions: ['all-reset', 'all-reset', 'peers-reset', 'peers-silent', 'peers-cut', 'worker-late', 'worker-silent', 'entry-kill'],
} as const;
