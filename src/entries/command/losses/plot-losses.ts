/** Draws a chart of losses. */
import {writeFile} from 'node:fs/promises';
import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import {lossReasons} from './loss-reasons.js';
import type {SliceLosses} from './slice-losses.js';

const width = 760;
const height = 320;

/** Writes a stacked bar chart of lost jobs by slice and reason as an SVG file. */
export async function plotLosses(slices: readonly SliceLosses[], sliceSeconds: number, file: string): Promise<void> {
	const values = slices.flatMap(({fromMilliseconds, reasons}) => [...reasons].map(([reason, lost]) => ({from: fromMilliseconds / 1000, reason, lost})));
	const specification: TopLevelSpec = {
		$schema: 'https://vega.github.io/schema/vega-lite/v5.json',
		title: `Jobs not answered in time, by reason, in slices of ${sliceSeconds} s`,
		width,
		height,
		data: {values},
		mark: 'bar',
		encoding: {
			x: {field: 'from', type: 'ordinal', title: 'seconds since the first job'},
			y: {aggregate: 'sum', field: 'lost', title: 'jobs'},
			color: {field: 'reason', sort: [...lossReasons], title: 'reason'},
		},
	};
	const view = new View(parse(compile(specification).spec), {renderer: 'none'});
	await writeFile(file, await view.toSVG());
}
