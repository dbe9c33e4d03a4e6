#!/usr/bin/env node
/** Prints what the exchange of backlogs costs in fleets of any size: `npm run counts:backlog`. */
import process from 'node:process';
import {measureBacklogs} from './backlog-costs.js';

const sizes = [
	{zones: 4, entriesInZone: 2, targetsInZone: 16},
	{zones: 3, entriesInZone: 10, targetsInZone: 82},
	{zones: 5, entriesInZone: 20, targetsInZone: 82},
	{zones: 6, entriesInZone: 50, targetsInZone: 195},
] as const;
/** Jobs per second and entry: none, and more than the fleet can serve. */
const loads = [0, 40] as const;

const columns = [
	'entries', 'jobs a second and entry', 'reports a second and entry', 'bytes a second and entry', 'of all frames', 'bytes of the largest report', 'ms of processor time a second and entry',
];
process.stdout.write(`| ${columns.join(' | ')} |\n|${'---|'.repeat(columns.length)}\n`);
for (const size of sizes) {
	for (const jobsPerSecond of loads) {
		const costs = await measureBacklogs(size, jobsPerSecond);
		process.stdout.write(`| ${[costs.entries, jobsPerSecond, costs.reports, costs.bytes, costs.frameBytes, costs.largestBytes, costs.milliseconds].join(' | ')} |\n`);
	}
}
