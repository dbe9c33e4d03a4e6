#!/usr/bin/env node
/** Measures how an entry's costs grow, for docs/CAPACITY.md: `npm run slopes`. */
import {setTimeout as wait} from 'node:timers/promises';
import process from 'node:process';
import type {JsonValue} from '../src/base/json-value.js';
import type {StreamOffset} from '../src/base/stream-offset.js';
import {emptyConfiguration} from '../src/features/profiles/empty-configuration.js';
import {foldRecord} from '../src/features/profiles/fold-record.js';
import {snapshotOf} from '../src/features/profiles/snapshot-of.js';
import {Fleet} from '../fleet/fleet.js';
import {benchCases} from './bench-cases.js';
import './cases/load-cases.js';
import {entryCounts} from './entry-counts.js';
import {publishProfile} from './publish-profile.js';
import {runCase} from './run-case.js';

const quietSeconds = 10;
const settlingMilliseconds = 4000;
const loadSeconds = 8;

const isQuietOnly = process.argv.includes('--quiet');

print('## A quiet fleet\n');
print('| entries (zones × each) | targets | frames/s sent | bytes/s sent | CPU % of a core | heap MB | resident MB |');
print('|---|---|---|---|---|---|---|');
await quiet(1, 1, 8);
await quiet(2, 1, 8);
await quiet(4, 1, 8);
await quiet(4, 2, 8);
await quiet(4, 4, 8);
await quiet(4, 2, 64);
await quiet(6, 2, 137);

if (isQuietOnly) {
	process.exit(0);
}

print('\n## Jobs of different sizes, 8 entries, 32 targets, 70% load\n');
print('| tasks a job, at most | tasks/s | messages/task | peer bytes/task | CPU ms/task (entries) | resident MB |');
print('|---|---|---|---|---|---|');
for (const tasksPerJob of [1, 20, 200]) {
	await loaded(tasksPerJob);
}

print('\n## The configuration\n');
configuration();
process.exit(0);

async function quiet(zones: number, entriesPerZone: number, targetsPerZone: number): Promise<void> {
	const fleet = await Fleet.start({
		zones, entriesPerZone, targetsPerZone, slots: 8, settings: {}, debug: 'savorylock:alarm', firstTargetLabels: [],
	});
	try {
		await publishProfile(fleet, 'flight-desk', '');
		await wait(settlingMilliseconds);
		const before = await entryCounts(fleet.entries);
		await wait(quietSeconds * 1000);
		const after = await entryCounts(fleet.entries);
		const mean = (read: (instance: string) => number) => {
			let sum = 0;
			for (const instance of after.keys()) {
				sum += read(instance);
			}

			return sum / after.size;
		};

		const cpuOf = (status: {process: {cpu: {user: number; system: number}}}) => status.process.cpu.user + status.process.cpu.system;
		const cells = [
			`${zones * entriesPerZone} (${zones} × ${entriesPerZone})`,
			String(zones * targetsPerZone),
			mean(id => (after.get(id)!.peers.sentFrames - before.get(id)!.peers.sentFrames) / quietSeconds).toFixed(1),
			mean(id => (after.get(id)!.peers.sentBytes - before.get(id)!.peers.sentBytes) / quietSeconds).toFixed(0),
			mean(id => (cpuOf(after.get(id)!) - cpuOf(before.get(id)!)) / 10_000 / quietSeconds).toFixed(2),
			mean(id => after.get(id)!.process.heapBytes / 1_048_576).toFixed(1),
			mean(id => after.get(id)!.process.residentBytes / 1_048_576).toFixed(0),
		];
		print(`| ${cells.join(' | ')} |`);
	} finally {
		await fleet.stop();
	}
}

async function loaded(tasksPerJob: number): Promise<void> {
	const result = await runCase(benchCases.named('steady')!, {
		policy: 'late-binding', load: 0.7, seed: 1, seconds: loadSeconds, hasRegistry: true, zones: 4, entriesPerZone: 2, targetsPerZone: 8, tasksPerJob,
	});
	const seconds = result.elapsedSeconds;
	const cells = [
		String(tasksPerJob),
		(result.tasks / loadSeconds).toFixed(0),
		result.messagesPerTask.toFixed(2),
		String(result.bytesPerTask),
		(result.entryCpuShare * 8 * seconds * 1000 / result.tasks).toFixed(2),
		String(result.entryMegabytes),
	];
	print(`| ${cells.join(' | ')} |`);
}

/** One day's 240 changes to 23 teams' profiles, folded at once. */
function configuration(): void {
	const changes = 240;
	const teams = 23;
	let state = emptyConfiguration;
	const startedAt = performance.now();
	for (let index = 0; index < changes; index++) {
		const name = `team-${index % teams}`;
		const base = state.profiles.get(name as never)?.revision;
		const common = {version: 1, changeId: `change-${index}`, profile: {name, weight: 1 + (index % 100)}};
		const body = (base === undefined ? {kind: 'publish', ...common} : {kind: 'revise', ...common, base}) as unknown as JsonValue;
		state = foldRecord(state, {offset: index as StreamOffset, body}).configuration;
	}

	const elapsed = performance.now() - startedAt;
	const bytes = JSON.stringify(snapshotOf(state)).length;
	print(`${changes} changes to ${teams} profiles are folded in ${elapsed.toFixed(1)} ms; the snapshot has ${bytes} bytes.`);
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}
