/** Exit codes of `savorylock`, documented in docs/INTERFACES.md. */

/** Exit codes by outcome. */
export const exitCode = {
	done: 0,
	failed: 1,
	usage: 2,
	rejected: 3,
	notYetEverywhere: 4,
	unknown: 5,
	jobFailed: 10,
	jobNotRun: 11,
	jobMayHaveRun: 12,
} as const;
