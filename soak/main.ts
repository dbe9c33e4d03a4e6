#!/usr/bin/env node
/**
 * The fault soak: real programs on loopback, faults from outside, promises checked on what callers and workers saw.
 * Exit codes: 0 all promises held, 1 one was broken.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {version} from '../src/entries/version.js';
import {allInvariants} from './all-invariants.js';
import {generateFaultPlan} from './generate-fault-plan.js';
import {runSoak} from './run-soak.js';
import type {SoakRecord} from './soak-record.js';

const shownViolations = 8;

const options = yargs(hideBin(process.argv))
	.scriptName('soak')
	.option('seed', {type: 'number', default: 1, describe: 'draws the faults and the traffic'})
	.option('seeds', {type: 'number', default: 1, describe: 'so many seeds, one after the other'})
	.option('seconds', {type: 'number', default: 30, describe: 'of traffic for each seed'})
	.option('zones', {type: 'number', default: 2})
	.option('entries', {type: 'number', default: 2, describe: 'in each zone'})
	.option('workers', {type: 'number', default: 4, describe: 'in each zone'})
	.option('rate', {type: 'number', default: 25, describe: 'jobs a second'})
	.option('faults', {type: 'boolean', default: true, describe: 'without them it is a load test'})
	.option('crashing', {type: 'number', default: 0, describe: 'one job in so many crashes each worker that starts its tasks; 0 for none'})
	.option('pauses', {type: 'number', default: 0, describe: 'entries also pause for 3 s to so many seconds, alone and together, and callers hang up and go elsewhere; 0 for none'})
	.option('timed', {type: 'boolean', default: true, describe: 'checks the promises that name a time, which a busy machine can break'})
	.option('profile', {type: 'string', describe: 'a folder for V8 processor profiles of the entries, which are then ended gracefully'})
	.option('folder', {type: 'string', default: 'target/soak', describe: 'for the entries\' logs'})
	.version(version)
	.strict()
	.parseSync();

let isBroken = false;
for (let {seed} = options; seed < options.seed + options.seeds; seed += 1) {
	isBroken = await play(seed) || isBroken;
}

process.exit(isBroken ? 1 : 0);

/** Whether a promise was broken. */
async function play(seed: number): Promise<boolean> {
	const folder = join(options.folder, String(seed));
	mkdirSync(folder, {recursive: true});
	const milliseconds = options.seconds * 1000;
	const {zones, entries: entriesPerZone, workers: workersPerZone, rate: jobsPerSecond, faults: hasFaults, crashing: crashingOneIn} = options;
	const record = await runSoak({
		seed, milliseconds, zones, entriesPerZone, workersPerZone, jobsPerSecond, hasFaults, crashingOneIn, longestPause: options.pauses * 1000, profileFolder: options.profile,
	}, folder);
	const served = record.jobs.filter(({attempts}) => attempts.some(({outcome}) => outcome?.kind === 'answer' && outcome.status === 200)).length;
	const found = allInvariants
		.filter(({isTimed}) => options.timed || !isTimed)
		.map(invariant => ({name: invariant.name, violations: invariant.violations(record)}))
		.filter(({violations}) => violations.length > 0);
	const faults = hasFaults ? generateFaultPlan(seed, milliseconds).length : 0;
	const counts = `${faults} faults, ${record.jobs.length} jobs, ${served} served, median wait ${medianWait(record)} ms, ${record.runs.length} run events`;
	print(`seed ${seed}: ${counts}, ${found.length === 0 ? 'all promises held' : 'BROKEN'}`);
	for (const {name, violations} of found) {
		print(`  not: ${name} (${violations.length})`);
		for (const violation of violations.slice(0, shownViolations)) {
			print(`    ${violation}`);
		}
	}

	if (found.length > 0) {
		writeFileSync(join(folder, 'record.json'), JSON.stringify(record, (_, value: unknown) => value instanceof Set ? [...value] as unknown[] : value));
	}

	return found.length > 0;
}

/** The time to the answer beyond the job's own run time, in milliseconds. */
function medianWait({jobs}: SoakRecord): number {
	const waits = jobs.flatMap(({payload, attempts}) => attempts
		.filter(({outcome}) => outcome?.kind === 'answer' && outcome.state === 'complete')
		.map(({sentAt, endedAt}) => (endedAt ?? sentAt) - sentAt - Number(payload)));
	return waits.sort((left, right) => left - right)[Math.floor(waits.length / 2)] ?? 0;
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}
