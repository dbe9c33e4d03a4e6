#!/usr/bin/env node
/** Command line program of the workers' stand-in: prints the ports of its workers and its own. */
import process from 'node:process';
import {serve} from '@hono/node-server';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {version} from '../../src/entries/version.js';
import {WorkerHost} from './worker-host.js';

const options = yargs(hideBin(process.argv))
	.scriptName('savorylock-standin-worker')
	.option('store', {type: 'string', demandOption: true, describe: 'IP:port of the store'})
	.option('service', {type: 'string', default: 'service', describe: 'the service that the workers run'})
	.option('zones', {type: 'string', default: 'zone-1', describe: 'one zone for each worker, by commas'})
	.version(version)
	.strict()
	.parseSync();

const host = new WorkerHost(options.store, options.service);
const httpPorts: number[] = [];
for (const zone of options.zones.split(',')) {
	httpPorts.push(await host.add(zone));
}

serve({fetch: host.routes().fetch, hostname: '127.0.0.1', port: 0}, ({port}) => {
	process.stdout.write(`${JSON.stringify({listening: {httpPort: port, httpPorts}})}\n`);
});
process.once('SIGTERM', () => {
	process.exit(0);
});
