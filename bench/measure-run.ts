/** Makes figures of what a run left behind. */
import type {TargetCounters} from '../standins/target/target-counters.js';
import type {BenchCase} from './bench-case.js';
import type {BenchOptions} from './bench-options.js';
import type {BenchResult} from './bench-result.js';
import type {entryCounts} from './entry-counts.js';
import {idealResponses} from './ideal-responses.js';
import type {JobOutcome} from './job-outcome.js';
import type {PlannedJob} from './planned-job.js';
import {quantile} from './quantile.js';
import {rounded} from './rounded.js';
import {trafficOf} from './traffic-of.js';

/** Counts at one moment. */
type Moment = {
	readonly truth: ReadonlyMap<string, TargetCounters>;
	readonly counts: Awaited<ReturnType<typeof entryCounts>>;
	readonly exchanges: number;
};

/** All that was seen of a run; outcomes by job, one for each simultaneous copy. */
type Run = {
	readonly benchCase: BenchCase;
	readonly options: BenchOptions;
	readonly jobs: readonly PlannedJob[];
	readonly outcomes: readonly JobOutcome[][];
	readonly before: Moment;
	readonly after: Moment;
	readonly begun: ReadonlySet<string>;
	readonly elapsedMilliseconds: number;
	/** From the first arrival to the last. */
	readonly window: {readonly milliseconds: number; readonly truth: ReadonlyMap<string, TargetCounters>};
	readonly slotsPerZone: number;
	readonly firstTarget: string;
};

/** The figures of a run. */
export function measureRun(run: Run): BenchResult {
	const {benchCase, options, jobs, outcomes} = run;
	const all = outcomes.flat();
	const ideal = idealResponses(jobs, run.slotsPerZone);
	const longest = jobs.map(job => Math.max(...job.runs));
	const done = outcomes.map((copies, index) => ({index, outcome: copies[0]!})).filter(({outcome}) => outcome.verdict === 'complete');
	const slowdowns = done.map(({index, outcome}) => outcome.milliseconds / longest[index]!);
	const idealSlowdowns = done.map(({index}) => ideal[index]! / longest[index]!);
	const truth = differenceOf(run.before.truth, run.after.truth);
	const tasks = jobs.reduce((sum, job) => sum + job.runs.length, 0);
	const count = (verdict: JobOutcome['verdict']) => all.filter(outcome => outcome.verdict === verdict).length;
	const work = done.reduce((sum, {index}) => sum + jobs[index]!.runs.reduce((total, each) => total + each, 0), 0);
	const firstTarget = run.after.truth.get(run.firstTarget);
	const starts = sumOf(truth, 'starts');
	return {
		case: benchCase.name,
		policy: options.policy,
		load: options.load,
		seed: options.seed,
		jobs: jobs.length,
		tasks,
		slowdownP50: rounded(quantile(slowdowns, 0.5)),
		slowdownP99: rounded(quantile(slowdowns, 0.99)),
		slowdownP999: rounded(quantile(slowdowns, 0.999)),
		idealP50: rounded(quantile(idealSlowdowns, 0.5)),
		idealP99: rounded(quantile(idealSlowdowns, 0.99)),
		ratioP50: rounded(quantile(slowdowns, 0.5) / quantile(idealSlowdowns, 0.5)),
		ratioP99: rounded(quantile(slowdowns, 0.99) / quantile(idealSlowdowns, 0.99)),
		...trafficOf({
			before: run.before.counts, after: run.after.counts, truth, outcomes: all, exchanges: run.after.exchanges, tasks, seconds: run.elapsedMilliseconds / 1000,
		}),
		doubleStarts: sumOf(truth, 'doubleStarts'),
		partialAnswers: all.filter(outcome => outcome.isPartial).length,
		falseNotRun: falseNotRun(outcomes, jobs, run.begun),
		crossedAnswers: all.filter(outcome => outcome.isCrossed).length,
		lostJobs: count('lost'),
		overSlots: sumOf(truth, 'overSlots'),
		overConnections: sumOf(truth, 'overConnections'),
		complete: count('complete'),
		failed: count('failed'),
		notRun: count('notRun'),
		mayHaveRun: count('mayHaveRun'),
		goodput: rounded(goodputOf(run, work, truth)),
		firstTargetShare: rounded((firstTarget?.starts ?? 0) / Math.max(1, starts)),
		profileP99: profileP99(jobs, done, longest),
		responseP50: rounded(quantile(done.map(({outcome}) => outcome.milliseconds), 0.5)),
		responseP99: rounded(quantile(done.map(({outcome}) => outcome.milliseconds), 0.99)),
		elapsedSeconds: rounded(run.elapsedMilliseconds / 1000),
		doubts: doubtsOf(all),
		slowestRefusal: rounded(Math.max(0, ...all.filter(outcome => outcome.verdict === 'notRun' && outcome.copies === 1).map(outcome => outcome.milliseconds))),
	};
}

/** The slots' busy share while jobs arrived, times the share of all busy time that went into complete jobs. */
function goodputOf(run: Run, work: number, truth: readonly TargetCounters[]): number {
	const inWindow = sumOf(differenceOf(run.before.truth, run.window.truth), 'busyMilliseconds');
	const capacity = run.window.milliseconds * run.slotsPerZone * run.options.zones;
	return inWindow / capacity * Math.min(1, work / Math.max(1, sumOf(truth, 'busyMilliseconds')));
}

/** How often each reason for a doubt was given. */
function doubtsOf(outcomes: readonly JobOutcome[]): Readonly<Record<string, number>> {
	const doubts = new Map<string, number>();
	for (const {verdict, detail} of outcomes) {
		if (verdict === 'mayHaveRun' || verdict === 'failed') {
			const reason = detail.replaceAll(/\d+/gv, 'N');
			doubts.set(reason, (doubts.get(reason) ?? 0) + 1);
		}
	}

	return Object.fromEntries(doubts);
}

function profileP99(jobs: readonly PlannedJob[], done: ReadonlyArray<{readonly index: number; readonly outcome: JobOutcome}>, longest: readonly number[]) {
	const byProfile = new Map<string, number[]>();
	for (const {index, outcome} of done) {
		const {profile} = jobs[index]!;
		byProfile.set(profile, [...byProfile.get(profile) ?? [], outcome.milliseconds / longest[index]!]);
	}

	return Object.fromEntries([...byProfile].map(([profile, values]) => [profile, rounded(quantile(values, 0.99))]));
}

/** Jobs whose last word was "not run", of which a target had begun a task. */
function falseNotRun(outcomes: readonly JobOutcome[][], jobs: readonly PlannedJob[], begun: ReadonlySet<string>): number {
	let mistakes = 0;
	for (const [index, copies] of outcomes.entries()) {
		const hasBegun = jobs[index]!.runs.some((_, task) => begun.has(`${copies[0]!.id}/${task}`));
		mistakes += hasBegun && copies.some(outcome => outcome.verdict === 'notRun') ? 1 : 0;
	}

	return mistakes;
}

function differenceOf(before: ReadonlyMap<string, TargetCounters>, after: ReadonlyMap<string, TargetCounters>): readonly TargetCounters[] {
	return [...after].map(([address, truth]) => {
		const earlier = before.get(address);
		return Object.fromEntries(Object.entries(truth).map(([key, value]) => [key, value - (earlier?.[key as keyof TargetCounters] ?? 0)])) as TargetCounters;
	});
}

function sumOf(truth: readonly TargetCounters[], key: keyof TargetCounters): number {
	return truth.reduce((sum, each) => sum + each[key], 0);
}
