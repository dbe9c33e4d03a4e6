#!/usr/bin/env node
/** Command line program of the targets' stand-in: serves one or more targets, each on its own port. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {version} from '../../src/entries/version.js';
import {TargetServer} from './target-server.js';

const options = yargs(hideBin(process.argv))
	.scriptName('savorylock-standin-target')
	.option('count', {type: 'number', default: 1, describe: 'how many targets, each on a port of the system\'s choice'})
	.option('slots', {type: 'number', default: 8, describe: 'tasks that a target runs at once'})
	.option('connections', {type: 'number', default: 64, describe: 'connections that a target accepts'})
	.version(version)
	.strict()
	.parseSync();

const startedTasks = new Set<string>();
const ports: number[] = [];
for (let index = 0; index < options.count; index++) {
	const target = new TargetServer(options.slots, options.connections, startedTasks);
	ports.push(await target.listen('127.0.0.1', 0));
}

const stop = () => {
	process.exit(0);
};

process.once('SIGTERM', stop);
process.once('SIGINT', stop);
process.stdout.write(`${JSON.stringify({listening: {httpPorts: ports}})}\n`);
