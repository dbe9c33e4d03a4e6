#!/usr/bin/env node
/** Command line program of the load balancer's stand-in. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {version} from '../../src/entries/version.js';
import {runStandIn} from '../stand-in.js';
import {LoadBalancer} from './load-balancer.js';

const options = yargs(hideBin(process.argv))
	.scriptName('savorylock-standin-balancer')
	.option('port', {type: 'number', default: 0, describe: 'port on loopback, 0 for one from the system'})
	.option('instances', {type: 'string', demandOption: true, describe: 'URL of the instance list'})
	.version(version)
	.strict()
	.parseSync();

runStandIn(new LoadBalancer(options.instances).routes(), '127.0.0.1', options.port);
