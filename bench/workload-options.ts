/** What a workload is drawn from. */

/** The load is the share of all slots that the tasks take on average. */
export type WorkloadOptions = {
	readonly seed: number;
	readonly seconds: number;
	readonly load: number;
	readonly zones: readonly string[];
	readonly entriesPerZone: number;
	readonly slotsPerZone: number;
	/** Share of a zone's jobs that go to its first entry. */
	readonly firstEntryShare: number;
	/** Jobs come in bursts of so many at once. */
	readonly burst: number;
	readonly deadlineMilliseconds: number;
	/** Declared run times are off by up to this factor either way; 0 for none declared. */
	readonly declarationError: number;
	/** Further profiles with their share of the load, beside `flight-desk`. */
	readonly profiles: Readonly<Record<string, number>>;
	/** Share of the jobs that are cancelled while they wait or run. */
	readonly cancelledShare: number;
	/** The most tasks of a job. */
	readonly tasksPerJob: number;
};
