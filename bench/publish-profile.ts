/** Publishes the benchmark's profiles. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Fleet} from '../fleet/fleet.js';
import {runToCompletion} from '../fleet/run-to-completion.js';

const commandMain = 'src/entries/command/main.js';

/** By the operators' command, as an operator does; rejects unless the profile is in force everywhere. */
export async function publishProfile(fleet: Fleet, name: string, further: string): Promise<void> {
	const folder = mkdtempSync(join(tmpdir(), 'savorylock-profile-'));
	const file = join(folder, `${name}.toml`);
	writeFileSync(file, `name = "${name}"\ndeadlineMilliseconds = 30000\ntaskLimitMilliseconds = 10000\n${further}`);
	const {code, output, errors} = await runToCompletion(commandMain, ['publish', file, '--log', fleet.logUrl, '--instances', fleet.instancesUrl]);
	rmSync(folder, {recursive: true});
	if (code !== 0) {
		throw new Error(`publishing ${name} ended with ${code}: ${output}${errors}`);
	}
}
