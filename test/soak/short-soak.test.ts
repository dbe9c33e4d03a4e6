/** A short soak of real programs. The promises that name a time are left to runs by hand: a busy machine can break them. */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {after, test} from 'node:test';

test('a short soak breaks no promise', () => {
	const folder = mkdtempSync(join(tmpdir(), 'savorylock-soak-'));
	after(() => {
		rmSync(folder, {recursive: true});
	});
	const {status, stdout, stderr} = spawnSync(process.execPath, ['dist/soak/main.js', '--seed', '4', '--seconds', '15', '--no-timed', '--folder', folder], {encoding: 'utf8'});
	assert.equal(status, 0, stdout + stderr);
});
