/** Runs the short set of cases against the committed bounds. */
import {readFileSync} from 'node:fs';
import {benchCases} from './bench-cases.js';
import type {BenchOptions} from './bench-options.js';
import type {BenchResult} from './bench-result.js';
import {boundsSchema} from './bound.js';
import {runCase} from './run-case.js';

/** Must be 0 in every case, whatever else is measured. */
const truthMetrics = ['doubleStarts', 'partialAnswers', 'falseNotRun', 'crossedAnswers', 'lostJobs', 'overSlots', 'overConnections'] as const;

/** Prints a line a row, and returns whether all hold. */
export async function checkBounds(options: BenchOptions, print: (line: string) => void): Promise<boolean> {
	const bounds = boundsSchema.parse(JSON.parse(readFileSync('bench/bounds.json', 'utf8')));
	let isGood = true;
	for (const name of new Set(bounds.rows.map(row => row.case))) {
		const benchCase = benchCases.named(name)!;
		const result = await runCase(benchCase, {...options, load: benchCase.load, seconds: bounds.seconds});
		const rows = [
			...bounds.rows.filter(row => row.case === name),
			...truthMetrics.map(metric => ({
				case: name, metric, most: 0, least: undefined,
			})),
		];
		for (const {metric, most, least} of rows) {
			const value = result[metric as keyof BenchResult] as number;
			const holds = value <= (most ?? Number.POSITIVE_INFINITY) && value >= (least ?? Number.NEGATIVE_INFINITY);
			isGood &&= holds;
			print(`${holds ? 'ok    ' : 'BROKEN'} ${name} ${metric} = ${value} (${most === undefined ? `at least ${least}` : `at most ${most}`})`);
		}
	}

	return isGood;
}
