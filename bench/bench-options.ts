/** What a run of the benchmark is told. */

/** From the command line, with the case's own values filled in. */
export type BenchOptions = {
	readonly policy: string;
	readonly load: number;
	readonly seed: number;
	readonly seconds: number;
	readonly hasRegistry: boolean;
	readonly zones: number;
	readonly entriesPerZone: number;
	readonly targetsPerZone: number;
	readonly tasksPerJob: number;
};
