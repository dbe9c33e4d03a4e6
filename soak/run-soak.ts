/** Runs one soak. */
import {setTimeout as wait} from 'node:timers/promises';
import {Random} from '../src/base/random.js';
import {Callers} from './callers.js';
import {generatePausePlan} from './generate-pause-plan.js';
import {generateFaultPlan} from './generate-fault-plan.js';
import {FaultScheduler} from './fault-scheduler.js';
import {FaultInjector} from './fault-injector.js';
import {planReplacements} from './plan-replacements.js';
import {suspensionKinds} from './suspension-kinds.js';
import type {SoakPlan} from './soak-plan.js';
import type {SoakRecord} from './soak-record.js';
import {SoakEnvironment} from './soak-environment.js';

const readyMilliseconds = 20_000;
/** Wait after the last answer, for pending cancellations to arrive and leases to expire. */
const settleMilliseconds = 2500;

/**
 * Writes the logs of the entries to the folder. All processes have exited when the promise settles.
 * @throws {Error} If the entries are not ready within 20 s.
 */
export async function runSoak(plan: SoakPlan, folder: string): Promise<SoakRecord> {
	const record: SoakRecord = {
		jobs: [], runs: [], probes: [], publications: [], disturbances: [], drains: [], exits: [], defects: [], runsAcrossBundles: 0, leftovers: [], healedAt: 0,
	};
	const environment = await SoakEnvironment.start(plan, folder, record);
	const callers = new Callers(environment.entries, new Random(plan.seed + 1), record, plan);
	try {
		const scheduler = new FaultScheduler(environment, new FaultInjector(environment), record);
		await scheduler.publish();
		if (!await callers.waitUntilReady(readyMilliseconds)) {
			throw new Error(`the entries were not ready within ${readyMilliseconds} ms`);
		}

		const traffic = callers.run(plan.milliseconds, plan.jobsPerSecond);
		await scheduler.run(faultsOf(plan), Date.now());
		await traffic;
		await wait(settleMilliseconds);
		record.leftovers = await environment.runningTasks();
		record.runs = await environment.runEvents();
		record.runsAcrossBundles = environment.sharedRuns.acrossBundles;
	} finally {
		callers.dispose();
		await environment.stop();
	}

	return record;
}

function faultsOf({seed, milliseconds, zones, entriesPerZone, longestPauseMilliseconds, longestSuspensionMilliseconds, hasFaults, formerBundle}: SoakPlan): ReturnType<typeof generateFaultPlan> {
	const pauses = longestPauseMilliseconds > 0 ? generatePausePlan(seed, milliseconds, longestPauseMilliseconds) : [];
	const suspensions = longestSuspensionMilliseconds > 0 ? generatePausePlan(seed, milliseconds, longestSuspensionMilliseconds, suspensionKinds) : [];
	const replacements = formerBundle === '' ? [] : planReplacements(zones * entriesPerZone, milliseconds);
	return [...(hasFaults ? generateFaultPlan(seed, milliseconds) : []), ...pauses, ...suspensions, ...replacements];
}
