/** A short soak of real processes, without the time limits that an overloaded machine can violate. */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {after, test} from 'node:test';

test('a short soak violates no invariant', () => {
	const folder = mkdtempSync(join(tmpdir(), 'savorylock-soak-'));
	after(() => {
		rmSync(folder, {recursive: true});
	});
	const {status, stdout, stderr} = spawnSync(process.execPath, ['dist/soak/main.js', '--seed', '4', '--seconds', '15', '--no-timed', '--folder', folder], {encoding: 'utf8'});
	assert.equal(status, 0, stdout + stderr);
});
