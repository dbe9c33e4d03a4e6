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
};
