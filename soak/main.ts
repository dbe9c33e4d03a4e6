#!/usr/bin/env node
/**
 * Command line of the soak: runs real processes on loopback, injects faults and checks invariants on the recorded events.
 * Exit codes: 0 if all invariants held, 1 if one was violated.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {version} from '../src/entries/version.js';
import {allInvariants} from './all-invariants.js';
import {generateFaultPlan} from './generate-fault-plan.js';
import {longestRunAfterLoss} from './longest-run-after-loss.js';
import {runSoak} from './run-soak.js';
import type {SoakRecord} from './soak-record.js';

const shownViolations = 8;

const options = yargs(hideBin(process.argv))
	.scriptName('soak')
	.option('seed', {type: 'number', default: 1, describe: 'seed of the random faults and traffic'})
	.option('seeds', {type: 'number', default: 1, describe: 'number of consecutive seeds to run'})
	.option('seconds', {type: 'number', default: 30, describe: 'duration of the traffic for each seed'})
	.option('zones', {type: 'number', default: 2})
	.option('entries', {type: 'number', default: 2, describe: 'in each zone'})
	.option('workers', {type: 'number', default: 4, describe: 'in each zone'})
	.option('rate', {type: 'number', default: 25, describe: 'jobs a second'})
	.option('faults', {type: 'boolean', default: true, describe: 'inject faults; without them the soak is a load test'})
	.option('crashing', {type: 'number', default: 0, describe: 'one job in this many crashes every worker that starts its tasks; 0 for none'})
	.option('pauses', {type: 'number', default: 0, describe: 'longest pause of an entry in seconds, from 3; callers of long jobs may also disconnect and submit elsewhere; 0 for none'})
	.option('suspensions', {type: 'number', default: 0, describe: 'longest suspension of an entry in seconds, from 1, which its monotonic clock excludes; one job in four is long; 0 for none'})
	.option('texts', {type: 'boolean', default: true, describe: 'payloads have texts that encodings tend to change; without them, seeds of former commits submit the payloads of then'})
	.option('timed', {type: 'boolean', default: true, describe: 'check the invariants with time limits, which an overloaded machine can violate'})
	.option('profile', {type: 'string', describe: 'folder for V8 CPU profiles of the entries, which are then stopped gracefully'})
	.option('bundle', {type: 'string', default: 'target/savorylock-edge.js', describe: 'bundle of the edge daemon, which may be that of another commit'})
	.option('scheduling', {type: 'string', default: 'deploy/scheduling.toml', describe: 'scheduling file of the entries; empty for none, as for a bundle of a commit without that option'})
	.option('former-bundle', {type: 'string', default: '', describe: 'bundle of the entries at first: they are replaced one after the other, and each restart begins the bundle; empty for none'})
	.option('former-scheduling', {type: 'string', default: '', describe: 'scheduling file of the former bundle; empty for none'})
	.option('folder', {type: 'string', default: 'target/soak', describe: 'folder for the logs of the entries'})
	.version(version)
	.strict()
	.parseSync();

let isViolated = false;
for (let {seed} = options; seed < options.seed + options.seeds; seed += 1) {
	isViolated = await run(seed) || isViolated;
}

process.exit(isViolated ? 1 : 0);

/** Runs one soak; returns whether an invariant was violated. */
async function run(seed: number): Promise<boolean> {
	const folder = join(options.folder, String(seed));
	mkdirSync(folder, {recursive: true});
	const milliseconds = options.seconds * 1000;
	const {zones, entries: entriesPerZone, workers: workersPerZone, rate: jobsPerSecond, faults: hasFaults, crashing: crashingOneIn} = options;
	const record = await runSoak({
		seed,
		milliseconds,
		zones,
		entriesPerZone,
		workersPerZone,
		jobsPerSecond,
		hasFaults,
		crashingOneIn,
		hasVariedPayloads: options.texts,
		longestPauseMilliseconds: options.pauses * 1000,
		longestSuspensionMilliseconds: options.suspensions * 1000,
		profileFolder: options.profile,
		bundle: options.bundle,
		scheduling: options.scheduling,
		formerBundle: options.formerBundle,
		formerScheduling: options.formerScheduling,
	}, folder);
	const served = record.jobs.filter(({attempts}) => attempts.some(({outcome}) => outcome?.kind === 'answer' && outcome.status === 200)).length;
	const found = allInvariants
		.filter(({isTimed}) => options.timed || !isTimed)
		.map(invariant => ({name: invariant.name, violations: invariant.violations(record)}))
		.filter(({violations}) => violations.length > 0);
	const faults = hasFaults ? generateFaultPlan(seed, milliseconds).length : 0;
	const counts = `${faults} faults, ${record.jobs.length} jobs, ${served} served, median wait ${medianWait(record)} ms, ${record.runs.length} run events`;
	const outlasted = `longest run after a lost answer ${longestRunAfterLoss(record)} ms`;
	const shared = options.formerBundle === '' ? '' : `, ${record.runsAcrossBundles} runs for entries of the other bundle`;
	print(`seed ${seed}: ${counts}${shared}, ${outlasted}, ${found.length === 0 ? 'all invariants held' : 'VIOLATED'}`);
	for (const {name, violations} of found) {
		print(`  violated: ${name} (${violations.length})`);
		for (const violation of violations.slice(0, shownViolations)) {
			print(`    ${violation}`);
		}
	}

	if (found.length > 0) {
		writeFileSync(join(folder, 'record.json'), JSON.stringify(record, (_, value: unknown) => value instanceof Set ? [...value] as unknown[] : value));
	}

	return found.length > 0;
}

/** Median time to an answer in excess of the run time of the job, in milliseconds. */
function medianWait({jobs}: SoakRecord): number {
	const waits = jobs.flatMap(({payload, attempts}) => attempts
		.filter(({outcome}) => outcome?.kind === 'answer' && outcome.state === 'complete')
		.map(({sentAt, endedAt}) => (endedAt ?? sentAt) - sentAt - Number(payload)));
	return waits.sort((left, right) => left - right)[Math.floor(waits.length / 2)] ?? 0;
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}
