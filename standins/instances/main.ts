#!/usr/bin/env node
/** Command line program of the instance list's stand-in. */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {version} from '../../src/entries/version.js';
import {runStandIn} from '../stand-in.js';
import {InstanceService} from './instance-service.js';

const options = yargs(hideBin(process.argv))
	.scriptName('savorylock-standin-instances')
	.option('port', {type: 'number', default: 0, describe: 'port on loopback, 0 for one from the system'})
	.version(version)
	.strict()
	.parseSync();

runStandIn(new InstanceService().routes(), '127.0.0.1', options.port);
