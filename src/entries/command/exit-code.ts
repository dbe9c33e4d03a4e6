/** How the command ends; docs/INTERFACES.md lists the codes. */

/** Scripts tell outcomes apart by these. */
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
