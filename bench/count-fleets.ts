#!/usr/bin/env node
/** Prints how the counts of a fleet grow with its size: `npm run counts`. Two thirds of each fleet's room are in use. */
import process from 'node:process';
import {countFleet} from './fleet-counts.js';

const milliseconds = 2000;
const sizes = [
	{
		zones: 4, entriesInZone: 2, targetsInZone: 8, jobsPerSecond: 9,
	},
	{
		zones: 3, entriesInZone: 13, targetsInZone: 82, jobsPerSecond: 14,
	},
	{
		zones: 6, entriesInZone: 16, targetsInZone: 63, jobsPerSecond: 9,
	},
	{
		zones: 6, entriesInZone: 50, targetsInZone: 195, jobsPerSecond: 9,
	},
] as const;

process.stdout.write('| entries | neighbours | frames a second, idle | calls a second, idle | frames a task | of them for the task | calls a task | refused starts |\n|---|---|---|---|---|---|---|---|\n');
for (const size of sizes) {
	const counts = await countFleet(size, {jobsPerSecond: size.jobsPerSecond, milliseconds});
	process.stdout.write(`| ${[
		counts.entries, counts.neighbours, counts.idleFrames, counts.idleCalls, counts.framesPerTask, counts.addedFramesPerTask, counts.callsPerTask, counts.refusedShare,
	].join(' | ')} |\n`);
}
