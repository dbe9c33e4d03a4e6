/** The outcome of one run. */

/** The object that `--json` prints; shares are between 0 and 1, times in milliseconds. */
export type BenchResult = {
	readonly case: string;
	readonly policy: string;
	readonly load: number;
	readonly seed: number;
	readonly jobs: number;
	readonly tasks: number;
	/** Slowdown: response time of a job over the run time of its longest task, for complete jobs. */
	readonly slowdownP50: number;
	readonly slowdownP99: number;
	readonly slowdownP999: number;
	readonly idealP50: number;
	readonly idealP99: number;
	readonly ratioP50: number;
	readonly ratioP99: number;
	readonly messagesPerTask: number;
	readonly bytesPerTask: number;
	readonly wastedShare: number;
	readonly wastedByKind: Readonly<Record<string, number>>;
	readonly doubleStarts: number;
	readonly partialAnswers: number;
	readonly falseNotRun: number;
	readonly crossedAnswers: number;
	readonly lostJobs: number;
	readonly overSlots: number;
	readonly overConnections: number;
	readonly complete: number;
	readonly failed: number;
	readonly notRun: number;
	readonly mayHaveRun: number;
	/** Share of the slots' time, while jobs arrived, that went into jobs that were complete in the end. */
	readonly goodput: number;
	/** Share of all starts that the worst behaved target (the first of zone-1) got. */
	readonly firstTargetShare: number;
	/** P99 of the slowdown for each profile. */
	readonly profileP99: Readonly<Record<string, number>>;
	/** Median and p99 response time of complete jobs. */
	readonly responseP50: number;
	readonly responseP99: number;
	/** Why jobs ended in doubt or failed, numbers left out. */
	readonly doubts: Readonly<Record<string, number>>;
	/** The longest time that a refused caller waited for its refusal. */
	readonly slowestRefusal: number;
	readonly elapsedSeconds: number;
	/** Mean processor share and memory of an entry. */
	readonly entryCpuShare: number;
	readonly entryMegabytes: number;
	/** Peer frames that an entry sent, by kind. */
	readonly peerFrames: Readonly<Record<string, number>>;
};
