/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
import process from 'node:process';
import {CannotRunError, Fleet} from './fleet.mjs';
import {Record} from './record.mjs';

const limitMilliseconds = 110_000;

/**
 * `fleet` are the options of the fleet. `play` gets the fleet, the record and whether the disruption is on; it resolves with a list
 * of violations.
 */
export async function runCase({record: file, fleet: options, play}) {
	const record = new Record(file);
	const isDisrupted = process.env.TROUBLE !== '0';
	let fleet;
	let code = 2;
	const giveUp = async cause => {
		record.write('could not run', {cause});
		await fleet?.close();
		process.exit(2);
	};

	const timer = setTimeout(async () => giveUp('not ended in time'), limitMilliseconds);
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, async () => giveUp(signal));
	}

	try {
		fleet = await Fleet.open({...options, record});
		record.write('fleet ready', {entries: fleet.entries.map(({name}) => name), isDisrupted});
		const violations = await play({fleet, record, isDisrupted});
		for (const violation of violations) {
			record.write('RULE BROKEN', violation);
			process.stdout.write(`rule broken: ${JSON.stringify(violation)}\n`);
		}

		code = violations.length > 0 ? 1 : 0;
	} catch (error) {
		record.write('could not run', {detail: error instanceof CannotRunError ? error.message : error.stack});
		process.stderr.write(`could not run: ${error.stack}\n`);
	}

	clearTimeout(timer);
	await fleet?.close();
	process.stdout.write(`${['the rule held', 'the rule was broken', 'the case could not run'][code]}\n`);
	process.exit(code);
}
