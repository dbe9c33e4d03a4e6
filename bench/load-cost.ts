#!/usr/bin/env node
/**
 * Prints the processor time and the counts of one loaded fleet of 30 entries in memory, and a digest of its decisions:
 * `node --interrupt-budget=30000000 dist/bench/load-cost.js [jobs per second and entry] [milliseconds]`. An entry's process runs a
 * thirtieth of the code of this one, so that the budget of `deploy/system.toml` is multiplied by the number of entries.
 */
import {createHash} from 'node:crypto';
import process from 'node:process';
import {PooledCluster} from '../test/support/pooled-cluster.js';
import {submitLoad} from './submit-load.js';

const [zones, entries, targetsInZone] = [4, 30, 60];
const settlingMilliseconds = 3000;
const [jobsPerSecond, milliseconds] = [Number(process.argv[2] ?? 20), Number(process.argv[3] ?? 4000)];

const names = Array.from({length: entries}, (_, index) => `z${index % zones}-${Math.floor(index / zones)}`);
const world = new PooledCluster(names, targetsInZone);
await world.startWithPeerList();
await world.advance(settlingMilliseconds);
const {network, orders, journal} = world;
const [frames, calls] = [network.framesSent, orders.orderCount];
const before = process.cpuUsage();
const tasks = await submitLoad(world, names, {jobsPerSecond, milliseconds});
const {user, system} = process.cpuUsage(before);
const digest = createHash('sha256');
for (const event of journal.events) {
	digest.update(JSON.stringify(event));
}

const perTask = (count: number) => (count / tasks).toFixed(2);
process.stdout.write(`${[
	`tasks ${tasks}`,
	`processor time a task ${((user + system) / 1000 / tasks).toFixed(3)} ms`,
	`frames a task ${perTask(network.framesSent - frames)}`,
	`calls a task ${perTask(orders.orderCount - calls)}`,
	`sent ${journal.named('taskSent').length}`,
	`refused ${journal.named('runRefused').length}`,
	`jobs ended ${journal.named('jobEnded').length}, answered ${journal.named('jobEnded').filter(({verdict}) => verdict === 'answered').length}`,
	`decisions ${digest.digest('hex').slice(0, 16)}`,
].join('\n')}\n`);
