#!/usr/bin/env node
/** The benchmark's command. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import './cases/fault-cases.js';
import './cases/load-cases.js';
import './cases/target-cases.js';
import {benchCases} from './bench-cases.js';
import type {BenchOptions} from './bench-options.js';
import type {BenchResult} from './bench-result.js';
import {checkBounds} from './check-bounds.js';
import {registryCost} from './registry-cost.js';
import {runCase} from './run-case.js';

const options = yargs(hideBin(process.argv))
	.scriptName('npm run bench --')
	.usage('$0 --case NAME\n\nRuns a case on real entry processes and small fake targets on loopback.')
	.option('case', {type: 'string', choices: benchCases.all().map(({name}) => name), default: 'steady'})
	.option('policy', {type: 'string', default: 'late-binding', describe: 'placement policy'})
	.option('load', {type: 'number', describe: 'share of all slots; the case\'s own where absent'})
	.option('seed', {type: 'number', default: 1})
	.option('seconds', {type: 'number', default: 20, describe: 'for how long jobs are sent'})
	.option('registry', {type: 'boolean', default: true, describe: '--no-registry measures without the registry of submissions'})
	.option('zones', {type: 'number', default: 4})
	.option('entries', {type: 'number', default: 2, describe: 'entries of a zone'})
	.option('targets', {type: 'number', default: 8, describe: 'targets of a zone'})
	.option('tasks-per-job', {type: 'number', default: 200, describe: 'the most tasks of a job'})
	.option('check', {type: 'boolean', default: false, describe: 'run the short set against bench/bounds.json; exit code 1 where a bound is broken'})
	.option('registry-cost', {type: 'boolean', default: false, describe: 'compare steady without and with the registry'})
	.option('json', {type: 'boolean', default: false, describe: 'end with one line of JSON'})
	.strict()
	.parseSync();

const benchCase = benchCases.named(options.case)!;
const benchOptions: BenchOptions = {
	policy: options.policy,
	load: options.load ?? benchCase.load,
	seed: options.seed,
	seconds: options.seconds,
	hasRegistry: options.registry,
	zones: options.zones,
	entriesPerZone: options.entries,
	targetsPerZone: options.targets,
	tasksPerJob: options.tasksPerJob,
};
if (options.check) {
	const isGood = await checkBounds(benchOptions, print);
	process.exit(isGood ? 0 : 1);
} else if (options.registryCost) {
	await registryCost(benchOptions, print);
} else {
	show(await runCase(benchCase, benchOptions));
}

process.exit(0);

function show(result: BenchResult): void {
	if (options.json) {
		print(JSON.stringify(result));
		return;
	}

	for (const [name, value] of Object.entries(result)) {
		print(`${name.padEnd(20)}${typeof value === 'object' ? JSON.stringify(value) : value}`);
	}
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}
