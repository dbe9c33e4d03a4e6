/** The bundled edge daemon. */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {after, test} from 'node:test';

// Guards against files that the bundle can't find at startup because its path differs from that of the modules.
test('the bundle starts, validates its settings and reports missing fields', () => {
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

// Guards against a process that SIGHUP terminates while it is still loading libraries. The command of the build is run without its
// removal of white space and comments, since esbuild names each module in a comment; the order of the modules is the same.
test('the reload signal is handled before any library is loaded', () => {
	const {scripts} = JSON.parse(readFileSync('package.json', 'utf8')) as {readonly scripts: Readonly<Record<string, string>>};
	const [program, ...parameters] = scripts.bundle!.split(' ');
	assert.equal(program, 'esbuild');
	const readable = parameters.filter(parameter => parameter !== '--minify-whitespace' && !parameter.startsWith('--outfile='));
	const {status, stdout: bundle, stderr} = spawnSync('node_modules/.bin/esbuild', readable, {encoding: 'utf8', maxBuffer: 16_777_216});
	assert.equal(status, 0, stderr);
	// CommonJS modules precede it in the bundle, but are wrapped in functions that run only when an ES module imports them.
	const evaluated = [...bundle.matchAll(/^\/\/ (?<module>\S+)\n(?!var \w+ = __commonJS)/gmv)].map(({groups}) => groups?.module);
	assert.equal(evaluated[0], 'src/entries/edge/early-signals.ts', evaluated.slice(0, 3).join(', '));
});

// Guards against parts of libraries that the modules load if they are installed, and that the bundle doesn't find: tests of the modules
// would then run other code than users do.
test('the bundle loads nothing by require', () => {
	const bundle = readFileSync('target/savorylock-edge.js', 'utf8');
	assert.deepEqual([...bundle.matchAll(/\bcreateRequire\b|\b__require\([^\)]/gv)].map(([text]) => text), []);
});
