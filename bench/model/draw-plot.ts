/** Draws lines as an SVG picture. */

type Line = {readonly name: string; readonly points: ReadonlyArray<readonly [x: number, y: number]>};
type Plot = {readonly title: string; readonly xLabel: string; readonly yLabel: string; readonly lines: readonly Line[]};

const width = 720;
const height = 400;
const margin = {
	left: 60, right: 190, top: 40, bottom: 50,
};
const colours = ['#1b6ca8', '#c8553d', '#588157', '#8f5aa8', '#d4a017', '#444444', '#17a2a2', '#b0447a'];
const yTicks = 5;

/** Values of y from 0 to 1. */
export function drawPlot({title, xLabel, yLabel, lines}: Plot): string {
	const xs = lines.flatMap(({points}) => points.map(([x]) => x));
	const [least, most] = [Math.min(...xs), Math.max(...xs)];
	const plotWidth = width - margin.left - margin.right;
	const plotHeight = height - margin.top - margin.bottom;
	const xOf = (x: number) => margin.left + ((x - least) / (most - least) * plotWidth);
	const yOf = (y: number) => margin.top + ((1 - y) * plotHeight);
	const ticks = Array.from({length: yTicks + 1}, (_, index) => index / yTicks);
	const elements = [
		text(margin.left, 22, title, 'font-size="15"'),
		text(margin.left + (plotWidth / 2), height - 12, xLabel, 'text-anchor="middle"'),
		text(14, margin.top - 12, yLabel, ''),
		...ticks.flatMap(tick => [
			`<line x1="${margin.left}" x2="${margin.left + plotWidth}" y1="${yOf(tick)}" y2="${yOf(tick)}" stroke="#dddddd"/>`,
			text(margin.left - 8, yOf(tick) + 4, tick.toFixed(1), 'text-anchor="end"'),
		]),
		...[...new Set(xs)].map(x => text(xOf(x), margin.top + plotHeight + 18, String(x), 'text-anchor="middle"')),
		...lines.flatMap(({name, points}, index) => {
			const colour = colours[index % colours.length]!;
			const path = points.map(([x, y]) => `${xOf(x).toFixed(1)},${yOf(y).toFixed(1)}`).join(' ');
			return [
				`<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="2"/>`,
				text(margin.left + plotWidth + 12, margin.top + 14 + (index * 20), name, `fill="${colour}"`),
			];
		}),
	];
	const body = elements.map(element => `\t${element}\n`).join('');
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">\n\t<rect width="100%" height="100%" fill="white"/>\n${body}</svg>\n`;
}

function text(x: number, y: number, content: string, attributes: string): string {
	return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" ${attributes}>${content}</text>`;
}
