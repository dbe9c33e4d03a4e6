/** Runs one case against a fleet of real processes. */
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {v7 as makeTimedId} from 'uuid';
import {Fleet} from '../fleet/fleet.js';
import type {FleetPlan} from '../fleet/fleet-plan.js';
import {fetchTargetCounters} from '../fleet/fetch-target-counters.js';
import type {BenchCase} from './bench-case.js';
import type {BenchOptions} from './bench-options.js';
import type {BenchResult} from './bench-result.js';
import {submitAsCaller} from './caller.js';
import {cancelAsCaller} from './cancel-as-caller.js';
import {drawWorkload} from './draw-workload.js';
import {entryCounts} from './entry-counts.js';
import type {JobOutcome} from './job-outcome.js';
import {measureRun} from './measure-run.js';
import type {PlannedJob} from './planned-job.js';
import {publishProfile} from './publish-profile.js';

const slots = 8;
const deadlineMilliseconds = 30_000;
const warmUpJobs = 400;
const warmUpMilliseconds = 2500;

/** Starts a fleet, warms it up, sends the workload while the case disturbs it, and measures. */
export async function runCase(benchCase: BenchCase, options: BenchOptions): Promise<BenchResult> {
	const fleet = await Fleet.start(benchCase.fleetPlan(planOf(options)));
	try {
		const workload = benchCase.workload({
			seed: options.seed,
			seconds: options.seconds,
			load: options.load,
			zones: fleet.zones,
			entriesPerZone: options.entriesPerZone,
			slotsPerZone: options.targetsPerZone * slots,
			firstEntryShare: 1 / options.entriesPerZone,
			burst: 1,
			deadlineMilliseconds,
			declarationError: 0,
			profiles: {},
			cancelledShare: 0,
			tasksPerJob: options.tasksPerJob,
		});
		const jobs = drawWorkload(workload);
		for (const name of ['flight-desk', ...Object.keys(workload.profiles)]) {
			await publishProfile(fleet, name, benchCase.profile(name));
		}

		await warmUp(fleet);
		return await measured(fleet, benchCase, options, jobs);
	} finally {
		await fleet.stop();
	}
}

async function measured(fleet: Fleet, benchCase: BenchCase, options: BenchOptions, jobs: readonly PlannedJob[]): Promise<BenchResult> {
	const before = {truth: await fetchTargetCounters(fleet), counts: await entryCounts(fleet.entries), exchanges: 0};
	const startedAt = performance.now();
	const traffic = {exchanges: 0};
	const lastCounts = new Map(before.counts);
	const isOver = {value: false};
	const sampling = sampleCounts(fleet, lastCounts, isOver);
	const disturbance = benchCase.disturb(fleet, options.seconds);
	const sending = sendAll(fleet, benchCase, jobs, traffic);
	await wait(options.seconds * 1000);
	const atLastArrival = await fetchTargetCounters(fleet);
	const windowMilliseconds = performance.now() - startedAt;
	const outcomes = await sending;
	await disturbance;
	const elapsedMilliseconds = performance.now() - startedAt;
	isOver.value = true;
	await sampling;
	return measureRun({
		benchCase,
		options,
		jobs,
		outcomes,
		before,
		after: {truth: await fetchTargetCounters(fleet), counts: lastCounts, exchanges: traffic.exchanges},
		begun: await begunTasks(fleet),
		elapsedMilliseconds,
		window: {milliseconds: windowMilliseconds, truth: atLastArrival},
		slotsPerZone: options.targetsPerZone * slots,
		firstTarget: fleet.targets.get('zone-1')?.[0] ?? '',
	});
}

function planOf(options: BenchOptions): FleetPlan {
	return {
		zones: options.zones,
		entriesPerZone: options.entriesPerZone,
		targetsPerZone: options.targetsPerZone,
		slots,
		settings: {placement: `policy = "${options.policy}"`, registry: `enabled = ${options.hasRegistry}`},
		debug: process.env.BENCH_DEBUG ?? 'savorylock:alarm',
		firstTargetLabels: [],
	};
}

/** Keeps the latest counts of entries that end during the run. */
async function sampleCounts(fleet: Fleet, counts: Map<string, unknown>, isOver: {readonly value: boolean}): Promise<void> {
	for (;;) {
		const isLast = isOver.value;
		for (const [instance, status] of await entryCounts(fleet.entries)) {
			counts.set(instance, status);
		}

		if (isLast) {
			return;
		}

		await wait(1000);
	}
}

async function sendAll(fleet: Fleet, benchCase: BenchCase, jobs: readonly PlannedJob[], traffic: {exchanges: number}): Promise<readonly JobOutcome[][]> {
	const startedAt = performance.now();
	const running: Array<Promise<JobOutcome[]>> = [];
	for (const job of jobs) {
		const ahead = job.at - (performance.now() - startedAt);
		if (ahead > 1) {
			await wait(ahead);
		}

		running.push(sendOne(fleet, benchCase, job, traffic));
	}

	return Promise.all(running);
}

async function sendOne(fleet: Fleet, benchCase: BenchCase, job: PlannedJob, traffic: {exchanges: number}): Promise<JobOutcome[]> {
	const id = `${job.zone}~${makeTimedId()}`;
	const preferred = entriesFor(fleet, job);
	const onExchange = () => {
		traffic.exchanges += 1;
	};

	const copies = Array.from({length: 1 + benchCase.simultaneousCopies}, async (_, index) => submitAsCaller(id, job, {
		entries: () => index === 0 ? entriesFor(fleet, job) : [...preferred.slice(index * 2), ...preferred],
		copies: benchCase.copies,
		onExchange,
	}));
	if (job.cancelAfter !== undefined) {
		await wait(job.cancelAfter);
		await cancelAsCaller(id, preferred[0] ?? '');
	}

	return Promise.all(copies);
}

/** The job's own entry first, then the others of its zone, then the rest. */
function entriesFor(fleet: Fleet, job: PlannedJob): readonly string[] {
	const own = fleet.entries.filter(entry => entry.zone === job.zone);
	const others = fleet.entries.filter(entry => entry.zone !== job.zone);
	const first = job.entry % Math.max(1, own.length);
	return [...own.slice(first), ...own.slice(0, first), ...others].map(entry => entry.address);
}

async function begunTasks(fleet: Fleet): Promise<ReadonlySet<string>> {
	const [address] = [...fleet.targets.values()].flat();
	const response = await request(`http://${address}/begun`);
	return new Set(await response.body.json() as string[]);
}

/** Lets the entries' code be compiled and their estimates form, on short jobs that aren't counted. */
async function warmUp(fleet: Fleet): Promise<void> {
	const jobs = Array.from({length: warmUpJobs}, (_, index): PlannedJob => ({
		at: index * warmUpMilliseconds / warmUpJobs,
		zone: fleet.zones[index % fleet.zones.length]!,
		entry: Math.floor(index / fleet.zones.length),
		profile: 'flight-desk',
		runs: [50 + (index % 200), 300],
		declared: undefined,
		deadline: deadlineMilliseconds,
		cancelAfter: undefined,
	}));
	const startedAt = performance.now();
	await Promise.all(jobs.map(async job => {
		await wait(Math.max(0, job.at - (performance.now() - startedAt)));
		await submitAsCaller(`${job.zone}~${makeTimedId()}`, job, {
			entries: () => entriesFor(fleet, job),
			copies: 1,
			onExchange() {
				// Not counted.
			},
		});
	}));
}
