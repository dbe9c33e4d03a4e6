/** The edge daemon as it's delivered: one file. */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {after, test} from 'node:test';

// Every entry of an installation would end at its start: the bundle lies in another folder than the modules it's made of,
// and what they look for beside themselves isn't there.
test('the bundle starts, checks its settings and names the missing field', () => {
	const folder = mkdtempSync(join(tmpdir(), 'savorylock-bundle-'));
	after(() => {
		rmSync(folder, {recursive: true});
	});
	const settings = join(folder, 'boot.conf');
	writeFileSync(settings, 'node=x\nip=127.0.0.1\n');
	const environment = Object.fromEntries([...Object.entries(process.env), ['SAVORYLOCK_SETTINGS', settings]]);
	const {status, stderr} = spawnSync(process.execPath, ['target/savorylock-edge.js'], {env: environment, encoding: 'utf8'});
	assert.equal(status, 2, stderr);
	assert.match(stderr, /zone: /v);
	assert.match(stderr, /listen\.front: /v);
});

// A settings file changes just after an entry was started, and the entry ends: the platform's signal comes while libraries
// are still being loaded, and without a handler it ends the process.
test('a signal to reload is taken before any library is loaded', () => {
	const bundle = readFileSync('target/savorylock-edge.js', 'utf8');
	// Modules of the older kind stand before it, but are wrapped in functions that the newer kind calls when it's evaluated.
	const evaluated = [...bundle.matchAll(/^\/\/ (?<module>\S+)\n(?!var \w+ = __commonJS)/gmv)].map(({groups}) => groups?.module);
	assert.equal(evaluated[0], 'src/entries/edge/early-signals.ts', evaluated.slice(0, 3).join(', '));
});
