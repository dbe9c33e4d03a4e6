/** Draws the model's traffic. */
import {Random} from '../../src/base/random.js';
import type {JobClass} from './job-class.js';
import type {ModelJob} from './model-job.js';

/**
 * Spread of run times around their mean: with it 0.6% of the runs take more than 2.2 times as long, as was measured over
 * 20,000 runs of the users' three kinds.
 */
const runTimeSpread = 0.31;
/** Of the numbers of tasks, by the users' own statement. */
const widthSpread = 0.4;
/** A burst of 1.3 times the traffic for 6 s in every 30 s, as on the users' days of load. */
const burst = {factor: 1.3, everyMilliseconds: 30_000, lastsMilliseconds: 6000};

type Traffic = {readonly classes: readonly JobClass[]; readonly seed: number; readonly milliseconds: number; readonly factor: number};

/** Jobs in the order of their arrival; `factor` multiplies the rates. */
export function drawTraffic({classes, seed, milliseconds, factor}: Traffic): readonly ModelJob[] {
	const random = new Random(seed);
	const jobs = classes.flatMap(kind => {
		const own: ModelJob[] = [];
		let at = 0;
		for (;;) {
			const isBurst = at % burst.everyMilliseconds < burst.lastsMilliseconds;
			const rate = kind.jobsPerSecond * factor * (isBurst ? burst.factor : 1);
			at += -Math.log(1 - random.fraction()) * 1000 / rate;
			if (at >= milliseconds) {
				return own;
			}

			const tasks = Math.max(1, Math.round(kind.meanTasks * spreadOf(random, widthSpread)));
			own.push({kind, at, runMilliseconds: Array.from({length: tasks}, () => kind.taskMilliseconds * spreadOf(random, runTimeSpread))});
		}
	});
	return jobs.sort((left, right) => left.at - right.at);
}

/** Log-normal around 1. */
function spreadOf(random: Random, spread: number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
	return Math.exp((spread * normal) - ((spread ** 2) / 2));
}
