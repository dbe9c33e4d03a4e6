#!/usr/bin/env node
/** The entry daemon, `savorylockd`. Exit codes: 0 all jobs ended, 1 failed, 2 invalid settings, 3 stopped with jobs unfinished. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {entrySettingsSchema} from '../../runtime/settings/entry-settings.js';
import {formatProblem} from '../../runtime/settings/format-problem.js';
import {parseDocument} from '../../runtime/settings/parse-document.js';
import {version} from '../version.js';
import {Daemon} from './daemon.js';

const exitFailed = 1;
const exitSettings = 2;
const exitCutOff = 3;

const options = yargs(hideBin(process.argv))
	.scriptName('savorylockd')
	.usage('$0 --settings FILE\n\nRuns one entry of savorylock until SIGTERM or SIGINT.')
	.option('settings', {type: 'string', demandOption: true, describe: 'TOML file, see docs/operations/settings.md'})
	.option('check', {type: 'boolean', default: false, describe: 'validate the settings and exit'})
	.epilogue('Exit codes: 0 all jobs ended, 1 failed, 2 invalid settings or usage, 3 stopped with jobs unfinished.')
	.version(version)
	.strict()
	.fail((message, error) => {
		process.stderr.write(`savorylockd: ${message || error.message}\n`);
		process.exit(exitSettings);
	})
	.parseSync();

const document = parseDocument(readText(options.settings), entrySettingsSchema);
if (document.kind === 'invalid') {
	for (const problem of document.problems) {
		process.stderr.write(`savorylockd: ${formatProblem(options.settings, problem)}\n`);
	}

	process.exit(exitSettings);
}

if (options.check) {
	process.stdout.write(`${options.settings}: valid\n`);
	process.exit(0);
}

try {
	const daemon = await Daemon.start(document.value);
	const stop = async () => {
		const unfinished = await daemon.stop();
		process.exit(unfinished === 0 ? 0 : exitCutOff);
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	process.stdout.write(`${JSON.stringify({listening: {httpPort: daemon.httpPort, peerPort: daemon.peerPort}})}\n`);
} catch (error) {
	process.stderr.write(`savorylockd: ${String(error)}\n`);
	process.exit(exitFailed);
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		process.stderr.write(`savorylockd: ${file}: ${(error as Error).message}\n`);
		process.exit(exitSettings);
	}
}
