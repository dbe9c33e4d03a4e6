/** Quickstart: starts a small installation, submits sample jobs, prints the results and stops. */
import {readFileSync} from 'node:fs';
import {setTimeout as wait} from 'node:timers/promises';
import process from 'node:process';
import {z} from 'zod';
import {Fleet} from './fleet.js';
import {runToCompletion} from './run-to-completion.js';
import {fetchTargetCounters} from './fetch-target-counters.js';

const command = 'src/entries/command/main.js';
const profiles = ['examples/flight-desk.toml', 'examples/match-desk.toml'];
const sample = 'examples/sample-jobs.jsonl';
const exitDelayMilliseconds = 200;

const resultSchema = z.object({
	line: z.int(),
	status: z.int(),
	verdict: z.string(),
	body: z.looseObject({detail: z.string().optional()}),
	milliseconds: z.number(),
});
const jobSchema = z.looseObject({
	id: z.string(),
	profile: z.string(),
	tasks: z.array(z.looseObject({payload: z.looseObject({runMilliseconds: z.number().optional()})})),
});
type Result = z.output<typeof resultSchema>;
type Job = z.output<typeof jobSchema>;

const jobs = readFileSync(sample, 'utf8').trim().split('\n').map(line => jobSchema.parse(JSON.parse(line)));
print('starting: log, instance list, balancer, 16 targets and 4 entries in 2 zones, each on ports that the system gives');
const fleet = await Fleet.start({
	zones: 2, entriesPerZone: 2, targetsPerZone: 8, slots: 8, settings: {}, debug: 'savorylock:alarm', firstTargetLabels: [],
});
try {
	for (const file of profiles) {
		const {output, errors} = await runToCompletion(command, ['publish', file, '--log', fleet.logUrl, '--instances', fleet.instancesUrl]);
		print(`savorylock publish ${file}: ${(output + errors).trim()}`);
	}

	const submitted = await runToCompletion(command, ['submit', sample, '--entry', fleet.balancerUrl]);
	const results = submitted.output.trim().split('\n').map(line => resultSchema.parse(JSON.parse(line)));
	print(`savorylock submit ${sample}: exit code ${submitted.code}\n`);
	printTable(results);
	await printTargetCounters();
} finally {
	await fleet.stop();
	await wait(exitDelayMilliseconds);
}

function printTable(results: readonly Result[]): void {
	printRow(['profile', 'verdict', 'jobs', 'tasks', 'own ms (median)', 'answered after ms (median)', 'slowdown (median)', 'slowdown (worst)']);
	const groups = new Map<string, Result[]>();
	for (const result of results) {
		const job = jobs[result.line - 1]!;
		const key = `${job.profile}|${outcomeOf(result)}`;
		groups.set(key, [...groups.get(key) ?? [], result]);
	}

	for (const [key, group] of [...groups].sort(([left], [right]) => left.localeCompare(right))) {
		const [profile = '', verdict = ''] = key.split('|');
		const own = group.map(result => ownMilliseconds(jobs[result.line - 1]!));
		const slowdowns = group.map((result, index) => result.milliseconds / own[index]!);
		const tasks = group.reduce((sum, result) => sum + jobs[result.line - 1]!.tasks.length, 0);
		const answeredAfter = median(group.map(result => result.milliseconds));
		printRow([
			profile,
			verdict,
			String(group.length),
			String(tasks),
			median(own).toFixed(0),
			answeredAfter.toFixed(0),
			median(slowdowns).toFixed(2),
			Math.max(...slowdowns).toFixed(2),
		]);
	}
}

/** Run time of a job without queueing, in milliseconds: that of its longest task. */
function ownMilliseconds(job: Job): number {
	return Math.max(...job.tasks.map(task => task.payload.runMilliseconds ?? 1));
}

function outcomeOf(result: Result): string {
	return result.verdict === 'answered' ? `answered ${result.status === 200 ? 'complete' : 'failed'}` : result.verdict;
}

async function printTargetCounters(): Promise<void> {
	const sums = {
		starts: 0, doubleStarts: 0, refused: 0, unwanted: 0, stopped: 0,
	};
	const counts = await fetchTargetCounters(fleet);
	for (const counters of counts.values()) {
		for (const key of Object.keys(sums) as Array<keyof typeof sums>) {
			sums[key] += counters[key];
		}
	}

	const wasted = sums.refused + sums.unwanted + sums.stopped;
	const split = `${sums.refused} refused, ${sums.unwanted} answers nobody waited for, ${sums.stopped} stopped`;
	print(`\nthe targets counted: ${sums.starts} starts, ${sums.doubleStarts} double starts, ${wasted} wasted messages (${split})`);
}

function printRow(cells: readonly string[]): void {
	const widths = [14, 18, 6, 7, 17, 28, 19, 18];
	print(cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(''));
}

function median(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}
