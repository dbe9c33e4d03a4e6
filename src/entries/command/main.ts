#!/usr/bin/env node
/** The command-line client for operators and callers, `savorylock`. */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {ProfileName} from '../../base/profile-name.js';
import {SystemClock} from '../../base/system-clock.js';
import {HttpLogStream} from '../../runtime/stream/http-log-stream.js';
import {version} from '../version.js';
import type {ChangeResult} from './change-result.js';
import {describeHistory} from './describe-history.js';
import {describeResult} from './describe-result.js';
import {buildTimeline} from './build-timeline.js';
import {exitCode} from './exit-code.js';
import {FleetClient} from './fleet-client.js';
import {OperatorCommands} from './operator-commands.js';
import {reportLosses} from './losses/report-losses.js';
import {readLogLines} from './read-log-lines.js';
import {readProfile} from './read-profile.js';
import {submitJobs} from './submit-jobs.js';

type SharedOptions = {readonly log?: string; readonly instances?: string; readonly json: boolean};

const changeOptions = {
	base: {type: 'number', describe: 'revision that the change is based on; default: the one in force'},
	'dry-run': {type: 'boolean', default: false, describe: 'show the differences from the profile in force without changing it'},
} as const;

await yargs(hideBin(process.argv))
	.scriptName('savorylock')
	.usage('$0 COMMAND\n\nManages profiles, submits jobs, and shows the status of entries.')
	.env('SAVORYLOCK')
	.option('log', {type: 'string', describe: 'URL of the platform\'s log (SAVORYLOCK_LOG)'})
	.option('instances', {type: 'string', describe: 'URL of the platform\'s instance list (SAVORYLOCK_INSTANCES)'})
	.option('json', {type: 'boolean', default: false, describe: 'print JSON for scripts'})
	.command('publish <file>', 'publish a profile from its TOML file', command => command
		.positional('file', {type: 'string', demandOption: true})
		.option('dry-run', changeOptions['dry-run']), async options => {
		await applyChange(options, options.file, options.dryRun, async (commands, profile) => commands.publish(profile));
	})
	.command('revise <file>', 'replace a profile that is in force', command => command
		.positional('file', {type: 'string', demandOption: true})
		.options(changeOptions), async options => {
		await applyChange(options, options.file, options.dryRun, async (commands, profile) => commands.revise(profile, options.base));
	})
	.command('retire <name>', 'retire a profile; its running jobs end normally', command => command
		.positional('name', {type: 'string', demandOption: true})
		.option('base', changeOptions.base), async options => {
		printResult(await createCommands(options).retire(options.name as ProfileName, options.base), options.json);
	})
	.command('settle <change>', 'determine the outcome of a change whose command ended with "unknown"', command => command
		.positional('change', {type: 'string', demandOption: true}), async options => {
		printResult(await createCommands(options).settle(options.change), options.json);
	})
	.command('list', 'list the profiles', command => command, async options => {
		for (const {profile, revision, state} of await createCommands(options).list()) {
			print(options.json ? JSON.stringify({name: profile.name, revision, state}) : `${profile.name}  revision ${revision}  ${state}`);
		}
	})
	.command('show <name>', 'show a profile', command => command.positional('name', {type: 'string', demandOption: true}), async options => {
		const profiles = await createCommands(options).list();
		const found = profiles.find(({profile}) => profile.name === options.name);
		if (found === undefined) {
			fail(`profile ${options.name} does not exist`, exitCode.failed);
		}

		print(JSON.stringify(found, undefined, options.json ? 0 : 2));
	})
	.command('history <name>', 'list the changes of a profile with their outcomes', command => command.positional('name', {type: 'string', demandOption: true}), async options => {
		for (const entry of await createCommands(options).history(options.name)) {
			print(options.json ? JSON.stringify(entry) : describeHistory(entry));
		}
	})
	.command('diff <name> <left> <right>', 'show the differences between two revisions of a profile', command => command
		.positional('name', {type: 'string', demandOption: true})
		.positional('left', {type: 'number', demandOption: true})
		.positional('right', {type: 'number', demandOption: true}), async options => {
		const lines = await createCommands(options).compareRevisions(options.name, options.left, options.right);
		print(lines.length === 0 ? 'no difference' : lines.join('\n'));
	})
	.command('submit [file]', 'submit jobs from a file or standard input, one JSON object per line', command => command
		.positional('file', {type: 'string', describe: 'file of JSON lines; - or no file for standard input'})
		.option('entry', {type: 'string', demandOption: true, describe: 'URL of an entry or the load balancer'}), async options => {
		const input = options.file === undefined || options.file === '-' ? process.stdin : createReadStream(options.file);
		process.exitCode = await submitJobs(options.entry, input, print);
	})
	.command('status', 'show the status of an entry', command => command.option('entry', {type: 'string', demandOption: true, describe: 'URL of an entry'}), async options => {
		const status = await new FleetClient('').status(options.entry.replace(/^https?:\/\//v, ''));
		if (status === undefined) {
			fail(`${options.entry} doesn't answer`, exitCode.failed);
		}

		print(JSON.stringify(status, undefined, options.json ? 0 : 2));
	})
	.command('explain <id> [files..]', 'show the timeline of a job, task, target or entry from the logs of edge daemons', command => command
		.positional('id', {type: 'string', demandOption: true})
		.positional('files', {
			type: 'string', array: true, default: [], describe: 'log files; default: standard input',
		}), async options => {
		const read = options.files.length === 0
			? [readLogLines('-', process.stdin)]
			: options.files.map(async file => readLogLines(file, createReadStream(file)));
		const lines = await Promise.all(read);
		const timeline = buildTimeline(lines.flat(), options.id);
		if (timeline.length === 0) {
			fail(`no log line mentions ${options.id}`, exitCode.failed);
		}

		print(timeline.join('\n'));
	})
	.command('losses [files..]', 'report the jobs that were not answered in time, and the causes of their delays, from the logs of edge daemons', command => command
		.positional('files', {
			type: 'string', array: true, default: [], describe: 'log files; default: standard input',
		})
		.option('slice', {type: 'number', default: 2, describe: 'length of a time slice in seconds'})
		.option('most', {type: 'number', default: 20, describe: 'number of slices to list, those with the most lost jobs first'})
		.option('plot', {type: 'string', describe: 'SVG file to which a chart of lost jobs by reason is written'})
		.check(({slice, most}) => slice > 0 && most >= 0 ? true : '--slice must be above 0, --most at least 0'), async options => {
		const lines = await reportLosses({
			files: options.files, sliceSeconds: options.slice, most: options.most, isJson: options.json, plot: options.plot,
		});
		if (lines.length === 0) {
			fail('the logs contain no job', exitCode.failed);
		}

		print(lines.join('\n'));
	})
	.demandCommand(1, 'a command is required')
	.epilogue('Exit codes: 0 done, 1 failed, 2 usage, 3 rejected, 4 accepted but not yet everywhere, 5 unknown; submit: 10 a job failed, 11 not run, 12 may have run.')
	.version(version)
	.strict()
	.fail((message, error) => {
		fail(message || error.message, message ? exitCode.usage : exitCode.failed);
	})
	.parseAsync();

async function applyChange(options: SharedOptions, file: string, isDry: boolean, run: (commands: OperatorCommands, profile: ReturnType<typeof readProfile>) => Promise<ChangeResult>): Promise<void> {
	const profile = loadProfile(file);
	const commands = createCommands(options);
	if (!isDry) {
		printResult(await run(commands, profile), options.json);
		return;
	}

	const lines = await commands.compareWithCurrent(profile);
	print(lines.length === 0 ? 'no difference' : lines.join('\n'));
}

function loadProfile(file: string): ReturnType<typeof readProfile> {
	try {
		return readProfile(file);
	} catch (error) {
		return fail((error as Error).message, exitCode.usage);
	}
}

function createCommands({log, instances}: SharedOptions): OperatorCommands {
	if (log === undefined || instances === undefined) {
		return fail('--log and --instances are required', exitCode.usage);
	}

	return new OperatorCommands({
		stream: new HttpLogStream(log, 'configuration'),
		fleet: new FleetClient(instances),
		clock: new SystemClock(),
		reportProgress(line) {
			if (process.stderr.isTTY) {
				process.stderr.write(`${line}\n`);
			}
		},
	});
}

function printResult(result: ChangeResult, isJson: boolean): void {
	const {line, code} = describeResult(result);
	print(isJson ? JSON.stringify(result) : line);
	process.exitCode = code;
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

function fail(message: string, code: number): never {
	process.stderr.write(`savorylock: ${message}\n`);
	process.exit(code);
}
