/** Texts between entries, with the modules and with the same modules in a bundle. */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, test} from 'node:test';
import {pathToFileURL} from 'node:url';
import * as fc from 'fast-check';
import type {ProfileName} from '../../../src/base/profile-name.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import {createRunRequest} from '../../support/create-run-request.js';
import {exactTextArbitrary} from '../../support/exact-text-arbitrary.js';
import {throughPeers} from '../../support/through-peers.js';

const seed = 59;
const runs = 400;

/** Bundles a module with the options of the build. */
async function bundledPeers(): Promise<typeof throughPeers> {
	const folder = mkdtempSync(join(tmpdir(), 'savorylock-texts-'));
	after(() => {
		rmSync(folder, {recursive: true});
	});
	const {scripts} = JSON.parse(readFileSync('package.json', 'utf8')) as {readonly scripts: Readonly<Record<string, string>>};
	const options = scripts.bundle!.split(' ').filter(word => word.startsWith('--') && !word.startsWith('--outfile='));
	const file = join(folder, 'through-peers.mjs');
	const {status, stderr} = spawnSync('node_modules/.bin/esbuild', ['test/support/through-peers.ts', ...options, `--outfile=${file}`], {encoding: 'utf8'});
	assert.equal(status, 0, stderr);
	const module = await import(pathToFileURL(file).href) as {readonly throughPeers: typeof throughPeers};
	return module.throughPeers;
}

const builds = {modules: throughPeers, bundle: await bundledPeers()};

for (const [name, peers] of Object.entries(builds)) {
	// Guards against a target that gets another payload than the caller sent, or is chosen by another label.
	test(`another entry receives each text of a request as it was sent: ${name}`, () => {
		const request = fc.record({
			payload: exactTextArbitrary,
			queue: exactTextArbitrary,
			service: exactTextArbitrary,
			label: exactTextArbitrary,
			nearLabel: exactTextArbitrary,
			excluded: fc.array(exactTextArbitrary, {maxLength: 2}),
		}).map(({payload, queue, service, label, nearLabel, excluded}) => {
			const plain = createRunRequest('task', '100');
			return {
				...plain, payload, queue: queue as ProfileName, service: service as ServiceName, place: {...plain.place, label, nearLabel}, excludedTargets: excluded,
			};
		});
		fc.assert(fc.property(fc.array(request, {minLength: 1, maxLength: 2}), requests => {
			// Clones have no classes, which differ between the builds.
			assert.deepEqual(structuredClone(peers.requests(requests)), structuredClone(requests.map(sent => ({kind: 'run', request: sent}))));
		}), {seed, numRuns: runs});
	});

	// Guards against a key that is renamed or lost on its way.
	test(`another entry receives the key that names an object's prototype: ${name}`, () => {
		const sent = '{"__proto__":{"a":1},"list":[{"__proto__":2}]}';
		assert.equal(JSON.stringify(peers.body(JSON.parse(sent))), sent);
	});

	// Guards against a caller that gets another result than the target gave, because its job is answered by another entry.
	test(`another entry receives each JSON value as it was sent: ${name}`, () => {
		const {value} = fc.letrec(tie => ({
			value: fc.oneof(
				{maxDepth: 3},
				exactTextArbitrary,
				fc.integer(),
				fc.double({noNaN: true, noDefaultInfinity: true}).map(number => number + 0),
				fc.constant(null),
				tie('list'),
				tie('object'),
			),
			list: fc.array(tie('value'), {maxLength: 3}),
			object: fc.dictionary(exactTextArbitrary, tie('value'), {maxKeys: 3, noNullPrototype: true}),
		}));
		fc.assert(fc.property(value, sent => {
			assert.deepEqual(peers.body(sent), sent);
		}), {seed, numRuns: runs});
	});
}
