/**
 * Runs a bundle of the edge daemon (arguments: the bundle, the file that states suspensions, the daemon's own) with a system
 * time that steps forwards, backwards or to normal at each SIGUSR2, and with clocks that exclude suspensions.
 */
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {excludeSuspensions} from './exclude-suspensions.js';

const stepMilliseconds = 2000;

const [bundle, suspensionFile] = process.argv.splice(2, 2);
excludeSuspensions(suspensionFile!);
const systemTime = Date.now.bind(Date);
let offset = 0;
Date.now = () => systemTime() + offset;
process.on('SIGUSR2', () => {
	offset = offset === 0 ? stepMilliseconds : (offset > 0 ? -stepMilliseconds : 0);
});
await import(pathToFileURL(bundle!).href);
