/** Configuration of a soak. */
export type SoakPlan = {
	readonly seed: number;
	/** Duration of the traffic. */
	readonly milliseconds: number;
	readonly zones: number;
	readonly entriesPerZone: number;
	readonly workersPerZone: number;
	readonly jobsPerSecond: number;
	/** Whether to inject faults; without them, a soak is a load test. */
	readonly hasFaults: boolean;
	/** Longest pause of an entry, in milliseconds. Also enables long jobs, whose callers may disconnect; 0 disables both. */
	readonly longestPauseMilliseconds: number;
	/** Longest suspension of an entry, in milliseconds. Also enables long jobs, of which more; 0 disables both. */
	readonly longestSuspensionMilliseconds: number;
	/** One job in this many crashes every worker that starts its tasks; 0 for none. */
	readonly crashingOneIn: number;
	/** Whether payloads have texts that encodings tend to change. */
	readonly hasVariedPayloads: boolean;
	/** Folder for V8 CPU profiles of the entries; `undefined` to take none. */
	readonly profileFolder: string | undefined;
	/** Bundle of the edge daemon that the entries run. */
	readonly bundle: string;
	/** Scheduling file of the entries; empty for none. */
	readonly scheduling: string;
	/** Bundle that each entry runs at first, until it is replaced; empty for none, so that no entry is replaced. */
	readonly formerBundle: string;
	/** Scheduling file of the entries while they run the former bundle; empty for none. */
	readonly formerScheduling: string;
};
