/** Draws the jobs of a benchmark. */
import {Random} from '../src/base/random.js';
import type {PlannedJob} from './planned-job.js';
import type {WorkloadOptions} from './workload-options.js';

const shortestRun = 50;
const longestRun = 1000;
/** A few tasks take several seconds. */
const longShare = 0.01;
const longRunShortest = 2000;
const longRunLongest = 4000;
/** Tasks by job: most jobs have one, a few have very many. */
const sizes = [
	{share: 0.6, from: 1, to: 1},
	{share: 0.25, from: 2, to: 5},
	{share: 0.13, from: 6, to: 20},
	{share: 0.018, from: 21, to: 60},
	{share: 0.002, from: 100, to: 200},
] as const;

/** Poisson arrivals in each zone, so that the tasks take the wanted share of its slots on average. */
export function drawWorkload(options: WorkloadOptions): readonly PlannedJob[] {
	const jobs: PlannedJob[] = [];
	for (const [index, zone] of options.zones.entries()) {
		const random = new Random(options.seed + index);
		jobs.push(...drawZone(options, zone, random));
	}

	return jobs.sort((left, right) => left.at - right.at);
}

function drawZone(options: WorkloadOptions, zone: string, random: Random): readonly PlannedJob[] {
	const workPerJob = meanTasks(options.tasksPerJob) * meanRun();
	const jobsPerMillisecond = options.load * options.slotsPerZone / workPerJob;
	const jobs: PlannedJob[] = [];
	let at = 0;
	while (at < options.seconds * 1000) {
		at += exponential(random) * options.burst / jobsPerMillisecond;
		for (let index = 0; index < options.burst; index++) {
			jobs.push(drawJob(options, zone, at, random));
		}
	}

	return jobs;
}

function drawJob(options: WorkloadOptions, zone: string, at: number, random: Random): PlannedJob {
	const runs = Array.from({length: drawSize(options.tasksPerJob, random)}, () => drawRun(random));
	const error = options.declarationError;
	const declared = error === 0 ? undefined : Math.max(...runs) * (error ** ((random.fraction() * 2) - 1));
	const isFirst = random.fraction() < options.firstEntryShare;
	return {
		at,
		zone,
		entry: isFirst ? 0 : 1 + random.below(Math.max(1, options.entriesPerZone - 1)),
		profile: drawProfile(options.profiles, random),
		runs,
		declared,
		deadline: options.deadlineMilliseconds,
		cancelAfter: random.fraction() < options.cancelledShare ? random.below(longestRun) : undefined,
	};
}

function drawProfile(profiles: Readonly<Record<string, number>>, random: Random): string {
	let rest = random.fraction();
	for (const [name, share] of Object.entries(profiles)) {
		rest -= share;
		if (rest < 0) {
			return name;
		}
	}

	return 'flight-desk';
}

function drawSize(limit: number, random: Random): number {
	let rest = random.fraction();
	for (const {share, from, to} of sizes) {
		rest -= share;
		if (rest < 0) {
			return Math.min(limit, from + random.below(to - from + 1));
		}
	}

	return 1;
}

/** Evenly spread on a logarithmic scale. */
function drawRun(random: Random): number {
	const isLong = random.fraction() < longShare;
	const [from, to] = isLong ? [longRunShortest, longRunLongest] : [shortestRun, longestRun];
	return Math.round(from * ((to / from) ** random.fraction()));
}

function exponential(random: Random): number {
	return -Math.log(1 - random.fraction());
}

function meanTasks(limit: number): number {
	let mean = 0;
	for (const {share, from, to} of sizes) {
		for (let size = from; size <= to; size++) {
			mean += share * Math.min(limit, size) / (to - from + 1);
		}
	}

	return mean;
}

function meanRun(): number {
	const mean = (from: number, to: number) => (to - from) / Math.log(to / from);
	return ((1 - longShare) * mean(shortestRun, longestRun)) + (longShare * mean(longRunShortest, longRunLongest));
}
