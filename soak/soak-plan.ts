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
	/** Where each entry leaves a V8 processor profile when it ends; none are taken where absent. */
	readonly profileFolder: string | undefined;
};
