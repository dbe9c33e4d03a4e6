#!/usr/bin/env node
/** Command line program of the store's stand-in. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {version} from '../../src/entries/version.js';
import {runStandIn} from '../stand-in.js';
import {StoreService} from './store-service.js';

const options = yargs(hideBin(process.argv))
	.scriptName('savorylock-standin-store')
	.option('port', {type: 'number', default: 0, describe: 'port on loopback, 0 for one from the system'})
	.version(version)
	.strict()
	.parseSync();

runStandIn(new StoreService().routes(), '127.0.0.1', options.port);
