/** The size of a soak. */
export type SoakPlan = {
	readonly seed: number;
	readonly milliseconds: number;
	readonly zones: number;
	readonly entriesPerZone: number;
	readonly workersPerZone: number;
	readonly jobsPerSecond: number;
	/** Without faults a soak is a load test. */
	readonly hasFaults: boolean;
	/** Entries also pause for so long at most, and some callers hang up and go elsewhere; not where 0. */
	readonly longestPause: number;
	/** One job in so many crashes each worker that starts its tasks; none where 0. */
	readonly crashingOneIn: number;
	/** Where each entry leaves a V8 processor profile when it ends; none are taken where absent. */
	readonly profileFolder: string | undefined;
};
