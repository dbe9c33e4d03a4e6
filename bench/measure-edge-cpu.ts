#!/usr/bin/env node
/**
 * Command line of the processor time measurement: runs entries of the built bundle with the stand-ins of store and targets on
 * loopback, and prints the processor time of the entries for each task, and their resident memory.
 */
import {mkdirSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Program} from '../fleet/program.js';
import {Random} from '../src/base/random.js';
import {version} from '../src/entries/version.js';
import {ConfigurationPublisher} from '../standins/configuration-publisher.js';
import {JobTraffic} from './edge-cpu/job-traffic.js';
import {MeasuredEdge} from './edge-cpu/measured-edge.js';
import {readCpuTimes} from './edge-cpu/cpu-times.js';
import {readResidentMemory} from './edge-cpu/read-resident-memory.js';

const service = 'service';
const host = 'bench.example';
const readyMilliseconds = 20_000;
const readinessMilliseconds = 100;
/** Time for the entries to divide the targets among them. */
const settleMilliseconds = 3000;
const bytesPerMegabyte = 1_048_576;

const options = yargs(hideBin(process.argv))
	.scriptName('measure-edge-cpu')
	.option('seed', {type: 'number', default: 1, describe: 'seed of the traffic'})
	.option('seconds', {type: 'number', default: 30, describe: 'duration of the traffic'})
	.option('entries', {type: 'number', default: 3})
	.option('zones', {type: 'number', default: 1})
	.option('workers', {type: 'number', default: 8, describe: 'for each entry; a worker holds two tasks'})
	.option('rate', {type: 'number', default: 60, describe: 'tasks a second and entry'})
	.option('flags', {type: 'string', describe: 'options of V8 instead of those of deploy/system.toml'})
	.option('profile', {type: 'boolean', default: false, describe: 'write V8 CPU profiles, which takes processor time itself'})
	.option('bundle', {type: 'string', default: 'target/savorylock-edge.js', describe: 'bundle of the edge daemon, which may be that of another commit'})
	.option('folder', {type: 'string', default: 'target/edge-cpu', describe: 'folder for logs and profiles'})
	.version(version)
	.strict()
	.parseSync();

mkdirSync(options.folder, {recursive: true});
const zones = Array.from({length: options.zones}, (_, index) => `zone-${index + 1}`);
const zoneOf = (index: number) => zones[index % zones.length]!;
const store = await Program.start('standins/store/main.js', []);
const storeAddress = `127.0.0.1:${store.ports.httpPort}`;
const workerZones = Array.from({length: options.entries * options.workers}, (_, index) => zoneOf(index));
const workers = await Program.start('standins/worker/main.js', ['--store', storeAddress, '--service', service, '--zones', workerZones.join(',')]);
const edges: MeasuredEdge[] = [];
try {
	for (const [index, port] of workers.ports.httpPorts!.entries()) {
		const response = await request(`http://127.0.0.1:${workers.ports.httpPort}/workers/${index}/address`, {method: 'POST', body: `127.0.0.1:${port}`});
		await response.body.dump();
	}

	await new ConfigurationPublisher(storeAddress, service, host).publish(['/base/']);
	for (let index = 0; index < options.entries; index += 1) {
		edges.push(new MeasuredEdge({
			name: `entry-${index + 1}`,
			zone: zoneOf(index),
			address: `127.${20 + (process.pid % 200)}.0.${index + 1}`,
			storeAddress,
			seeds: edges.slice(0, 3).map(({control}) => control),
			folder: options.folder,
			bundle: options.bundle,
			flags: options.flags?.split(' ').filter(flag => flag !== ''),
			isProfiled: options.profile,
		}));
	}

	await awaitReady();
	await wait(settleMilliseconds);
	await measure();
} finally {
	await Promise.all(edges.map(async edge => edge.stop()));
	await Promise.all([store, workers].map(async program => program.terminate('SIGKILL')));
}

async function awaitReady(): Promise<void> {
	const limit = Date.now() + readyMilliseconds;
	while (Date.now() < limit) {
		const ready = await Promise.all(edges.map(async edge => edge.isReady()));
		if (ready.every(Boolean)) {
			return;
		}

		await wait(readinessMilliseconds);
	}

	throw new Error(`the entries were not ready within ${readyMilliseconds} ms; see ${join(options.folder, 'entry-1.log')}`);
}

async function measure(): Promise<void> {
	const before = sumTimes();
	const traffic = new JobTraffic(edges.map(({front}) => front), host, new Random(options.seed));
	const {tasks, jobs, late, unserved} = await traffic.run(options.seconds * 1000, options.rate);
	const after = sumTimes();
	await traffic.close();
	const memory = edges.map(({pid}) => readResidentMemory(pid));
	const perTask = (milliseconds: number) => (milliseconds / tasks).toFixed(3);
	const [user, system, others] = [after.mainUser - before.mainUser, after.mainSystem - before.mainSystem, after.others - before.others];
	const mean = (values: readonly number[]) => (values.reduce((sum, value) => sum + value, 0) / values.length / bytesPerMegabyte).toFixed(1);
	process.stdout.write(`${tasks} tasks, ${jobs} jobs, ${late} late, ${unserved} not served\n`);
	process.stdout.write(`processor time for a task: ${perTask(user + system + others)} ms (main thread user ${perTask(user)}, system ${perTask(system)}, other threads ${perTask(others)})\n`);
	const startup = Math.round((before.mainUser + before.mainSystem + before.others) / edges.length);
	const [resident, peak] = [mean(memory.map(({now}) => now)), mean(memory.map(each => each.peak))];
	process.stdout.write(`start-up: ${startup} ms an entry; resident memory: ${resident} MB, peak ${peak} MB\n`);
}

/** Sums over all entries since their start. */
function sumTimes(): ReturnType<typeof readCpuTimes> {
	const times = edges.map(({pid}) => readCpuTimes(pid));
	const sum = (key: keyof ReturnType<typeof readCpuTimes>) => times.reduce((total, each) => total + each[key], 0);
	return {mainUser: sum('mainUser'), mainSystem: sum('mainSystem'), others: sum('others')};
}
