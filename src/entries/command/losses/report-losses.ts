/** Implements `savorylock losses`. */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {describeLosses} from './describe-losses.js';
import {LossAnalysis} from './loss-analysis.js';
import {mergeLogs} from './merge-logs.js';
import type {UnreadableLines} from './unreadable-lines.js';

/** Number of lines between two progress updates. */
const progressLines = 50_000;

type Options = {
	/** If empty, standard input is read. */
	readonly files: readonly string[];
	readonly sliceSeconds: number;
	/** The number of slices to list. */
	readonly most: number;
	readonly isJson: boolean;
	readonly plot: string | undefined;
};

/** Returns the lines of the report, or none if the logs contain no job. Rejects if a file can't be read. */
export async function reportLosses({files, sliceSeconds, most, isJson, plot}: Options): Promise<readonly string[]> {
	const unreadable: UnreadableLines = {notAnEvent: 0, cut: 0, unknownEvent: 0};
	const sources = files.length === 0
		? [{name: '-', input: process.stdin}]
		: files.map(file => ({name: file, input: createReadStream(file)}));
	const analysis = new LossAnalysis(sliceSeconds * 1000);
	let linesRead = 0;
	for await (const line of mergeLogs(sources, unreadable)) {
		analysis.add(line);
		linesRead += 1;
		if (linesRead % progressLines === 0 && process.stderr.isTTY) {
			process.stderr.write(`\r${linesRead} lines read, ${analysis.jobsInFlight} jobs in flight `);
		}
	}

	const slices = analysis.finish();
	if (plot !== undefined && slices.length > 0) {
		const {plotLosses} = await import('./plot-losses.js');
		await plotLosses(slices, sliceSeconds, plot);
	}

	if (slices.length === 0) {
		return [];
	}

	return isJson
		? [...slices.map(slice => JSON.stringify({kind: 'slice', ...slice, reasons: Object.fromEntries(slice.reasons)})), JSON.stringify({kind: 'unreadable', ...unreadable})]
		: describeLosses(slices, unreadable, most);
}
