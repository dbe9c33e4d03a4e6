#!/usr/bin/env node
/** Compares policies of order and refusal at several loads, as a table and as plots. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {version} from '../../src/entries/version.js';
import {deskClasses} from './desk-classes.js';
import {drawPlot} from './draw-plot.js';
import {drawTraffic} from './draw-traffic.js';
import {ArrivalOrder} from './policies/arrival-order.js';
import {InUse} from './policies/in-use.js';
import {NearestDeadline} from './policies/nearest-deadline.js';
import {PredictedWait} from './policies/predicted-wait.js';
import {ShortestFirst} from './policies/shortest-first.js';
import {WorthForWork} from './policies/worth-for-work.js';
import {WorthWithinReach} from './policies/worth-within-reach.js';
import {PoolModel} from './pool-model.js';
import {summarize} from './summarize.js';

/** As many tasks of 27 cores as 32 targets of 64 and 96 cores run at once. */
const slots = 75;
const loads = [0.8, 1, 1.2, 1.5];

const options = yargs(hideBin(process.argv))
	.scriptName('model')
	.option('seconds', {type: 'number', default: 600, describe: 'of traffic at each load'})
	.option('seed', {type: 'number', default: 1})
	.option('plots', {type: 'string', describe: 'a folder to write plots to'})
	.version(version)
	.strict()
	.parseSync();

const policies = [
	() => new InUse(),
	() => new PredictedWait(1),
	() => new PredictedWait(2),
	() => new WorthWithinReach(deskClasses),
	() => new WorthForWork(deskClasses),
	() => new NearestDeadline(),
	() => new ShortestFirst(),
	() => new ArrivalOrder(),
];
const workPerSecond = deskClasses.reduce((sum, {jobsPerSecond, meanTasks, taskMilliseconds}) => sum + (jobsPerSecond * meanTasks * taskMilliseconds / 1000), 0);
const results = policies.map(create => ({name: create().name, summaries: loads.map(load => play(create, load))}));
print(['policy', ...loads.map(load => `${load * 100}%: worth, worst class, unserved, refused late`)]);
print(['---', ...loads.map(() => '---')]);
for (const {name, summaries} of results) {
	print([name, ...summaries.map(({worth, worstClass, refused, refusedLate}) => [worth, worstClass, refused, refusedLate].map(share => share.toFixed(3)).join(', '))]);
}

if (options.plots !== undefined) {
	writePlots(options.plots);
}

function play(create: typeof policies[number], load: number) {
	const traffic = drawTraffic({
		classes: deskClasses, seed: options.seed, milliseconds: options.seconds * 1000, factor: load * slots / workPerSecond,
	});
	return summarize(new PoolModel(slots, create()).play(traffic));
}

function writePlots(folder: string): void {
	mkdirSync(folder, {recursive: true});
	const plot = (file: string, title: string, valueOf: (summary: ReturnType<typeof summarize>) => number) => {
		const lines = results.map(({name, summaries}) => ({name, points: summaries.map((summary, index) => [loads[index]! * 100, valueOf(summary)] as const)}));
		writeFileSync(join(folder, file), drawPlot({
			title, xLabel: 'load in % of the room, with bursts of 1.3', yLabel: 'share', lines,
		}));
	};

	plot('policies-worth.svg', 'Worth earned of worth owed, by policy', ({worth}) => worth);
	plot('policies-unserved.svg', 'Jobs refused or given up, by policy', ({refused}) => refused);
	plot('policies-worst-class.svg', 'Worth of the worst served class, by policy', ({worstClass}) => worstClass);
}

function print(cells: readonly string[]): void {
	process.stdout.write(`| ${cells.join(' | ')} |\n`);
}
