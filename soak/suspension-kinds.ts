/** Fault kinds of the suspension schedule. */

/** As `pauseKinds`; the monotonic clocks of suspended entries exclude the suspension, and a third of the entries may be slow instead. */
export const suspensionKinds = {
	pauses: ['entry-suspend', 'entries-suspend', 'entries-slow'],
	companions: [
		'all-reset',
		'all-reset',
		'peers-reset',
		'peers-silent',
		'peers-cut',
		'worker-delay',
		'worker-delay',
		'worker-late',
		'worker-silent',
		'worker-losing',
		'worker-cut',
		'entry-stop',
		'entry-kill',
		'entry-kill',
		'entry-kill',
	],
	shortestMilliseconds: 1000,
	seedOffset: 3,
} as const;
