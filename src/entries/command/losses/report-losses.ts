/** `savorylock losses`. */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {describeLosses} from './describe-losses.js';
import {LossAnalysis} from './loss-analysis.js';
import {mergeLogs} from './merge-logs.js';
import type {UnreadableLines} from './unreadable-lines.js';

/** Lines between two updates of the progress line. */
const progressLines = 50_000;

type Options = {
	/** Standard input where empty. */
	readonly files: readonly string[];
	readonly sliceSeconds: number;
	/** How many slices are listed. */
	readonly most: number;
	readonly isJson: boolean;
	readonly plot: string | undefined;
};

/** The report's lines; none where no job was found. Rejects where a file can't be read. */
export async function reportLosses({files, sliceSeconds, most, isJson, plot}: Options): Promise<readonly string[]> {
	const unreadable: UnreadableLines = {notAnEvent: 0, cut: 0, unknownEvent: 0};
	const sources = files.length === 0
		? [{name: '-', input: process.stdin}]
		: files.map(file => ({name: file, input: createReadStream(file)}));
	const account = new LossAnalysis(sliceSeconds * 1000);
	let read = 0;
	for await (const line of mergeLogs(sources, unreadable)) {
		account.take(line);
		read += 1;
		if (read % progressLines === 0 && process.stderr.isTTY) {
			process.stderr.write(`\r${read} lines read, ${account.inFlight} jobs in flight `);
		}
	}

	const slices = account.close();
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
