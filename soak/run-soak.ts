/** Plays one soak from its start to its record. */
import {setTimeout as wait} from 'node:timers/promises';
import {Random} from '../src/base/random.js';
import {Callers} from './callers.js';
import {generatePausePlan} from './generate-pause-plan.js';
import {generateFaultPlan} from './generate-fault-plan.js';
import {FaultScheduler} from './fault-scheduler.js';
import {FaultInjector} from './fault-injector.js';
import type {SoakPlan} from './soak-plan.js';
import type {SoakRecord} from './soak-record.js';
import {SoakEnvironment} from './soak-environment.js';

const readyMilliseconds = 20_000;
/** After the last answer: stops are on their way, and leases of what nobody stopped lapse. */
const settleMilliseconds = 2500;

/** Logs of the entries go to the folder. Everything that was started has ended when this resolves. */
export async function runSoak(plan: SoakPlan, folder: string): Promise<SoakRecord> {
	const record: SoakRecord = {
		jobs: [], runs: [], probes: [], publications: [], disturbances: [], drains: [], exits: [], defects: [], leftovers: [], healedAt: 0,
	};
	const world = await SoakEnvironment.start(plan, folder, record);
	const callers = new Callers(world.entries, new Random(plan.seed + 1), record, plan);
	try {
		const injector = new FaultScheduler(world, new FaultInjector(world), record);
		await injector.publish();
		if (!await callers.waitUntilReady(readyMilliseconds)) {
			throw new Error('the entries did not become ready');
		}

		const playing = callers.play(plan.milliseconds, plan.jobsPerSecond);
		await injector.play(faultsOf(plan), Date.now());
		await playing;
		await wait(settleMilliseconds);
		record.leftovers = await world.running();
		record.runs = await world.truth();
	} finally {
		callers.dispose();
		await world.stop();
	}

	return record;
}

function faultsOf({seed, milliseconds, longestPause, hasFaults}: SoakPlan): ReturnType<typeof generateFaultPlan> {
	const pauses = longestPause > 0 ? generatePausePlan(seed, milliseconds, longestPause) : [];
	return [...(hasFaults ? generateFaultPlan(seed, milliseconds) : []), ...pauses];
}
