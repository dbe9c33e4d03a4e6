/** HTTP responses to valid and invalid requests. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {after, before, test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import {Emitter} from '../../../src/base/emitter.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {ApiServer} from '../../../src/features/intake/api-server.js';
import {Readiness} from '../../../src/features/intake/readiness.js';
import {StatusReport} from '../../../src/features/intake/status-report.js';
import {JobService} from '../../../src/features/jobs/job-service.js';
import type {Configuration} from '../../../src/features/profiles/configuration.js';
import {emptyConfiguration} from '../../../src/features/profiles/empty-configuration.js';
import {ProfileService} from '../../../src/features/profiles/profile-service.js';
import type {ProfileRevision} from '../../../src/features/profiles/profile-revision.js';
import {NoOpRegistryClient} from '../../../src/features/submissions/no-op-registry-client.js';
import {FakeClock} from '../../support/fake-clock.js';
import {FakeSlotClient} from '../../support/fake-slot-client.js';
import {FakeTargetDriver} from '../../support/fake-target-driver.js';
import {createJobDependencies} from '../../support/create-job-dependencies.js';
import {createProfileRevision} from '../../support/create-profile-revision.js';
import {createSnapshotMatcher} from '../../support/create-snapshot-matcher.js';

const matchSnapshot = createSnapshotMatcher(import.meta.url);

class FixedBook extends ProfileService {
	override readonly configuration = emptyConfiguration;
	override readonly onDidChangeConfiguration = new Emitter<Configuration>().event;
	override isLoaded = true;

	override profileNamed(name: ProfileName): ProfileRevision | undefined {
		if (name === 'winter-desk') {
			return {...createProfileRevision({name: 'winter-desk'}), state: 'retired'};
		}

		return name === 'flight-desk' ? createProfileRevision() : undefined;
	}
}

const driver = new FakeTargetDriver();
const book = new FixedBook();
const readiness = new Readiness();
const submissions = new NoOpRegistryClient();
const jobs = new JobService(book, submissions, createJobDependencies(new FakeClock(), new FakeSlotClient(true), driver));
const server = new ApiServer(
	{
		zone: 'zone-1' as AvailabilityZone, address: '127.0.0.1', port: 0, bodyBytes: 4096, maximumDeadlineMilliseconds: 60_000,
	},
	jobs,
	submissions,
	{readiness, status: new StatusReport()},
);
let url = '';

before(async () => {
	url = `http://127.0.0.1:${await server.listen()}`;
});
after(() => {
	server.dispose();
});

async function submit(body: string | Uint8Array, headers: Record<string, string> = {}): Promise<unknown> {
	const response = await fetch(`${url}/v1/jobs`, {method: 'POST', body, headers: {'content-type': 'application/json', 'idempotency-key': '"job-1"', ...headers}});
	const text = await response.text();
	return {
		status: response.status,
		type: response.headers.get('content-type'),
		verdict: response.headers.get('savorylock-verdict'),
		retryAfter: response.headers.get('retry-after'),
		hasLength: response.headers.get('content-length') === String(new TextEncoder().encode(text).length),
		body: JSON.parse(text) as unknown,
	};
}

function jobOf(keys: Record<string, unknown>): string {
	return JSON.stringify({profile: 'flight-desk', tasks: [{payload: 'seat 4'}], ...keys});
}

test('invalid requests get a 4xx status and are reported as not run', async () => {
	const cases = {
		'malformed JSON': '{"profile": "flight-desk", "tasks": [',
		'text in Latin-1': Buffer.from(jobOf({tasks: [{payload: 'caf\u00E9'}]}), 'latin1'),
		'no object': '[]',
		'unknown profile': jobOf({profile: 'sailing-desk'}),
		'retired profile': jobOf({profile: 'winter-desk'}),
		'no task': jobOf({tasks: []}),
		'201 tasks': jobOf({tasks: Array.from({length: 201}, () => ({payload: 1}))}),
		'body over the limit': jobOf({tasks: [{payload: 'x'.repeat(5000)}]}),
		'deadline of a year': jobOf({deadlineMilliseconds: 31_536_000_000}),
		'deadline over the profile\'s': jobOf({deadlineMilliseconds: 20_000}),
		'deadline of nothing': jobOf({deadlineMilliseconds: 0}),
		'negative deadline': jobOf({deadlineMilliseconds: -5}),
		'unknown key': jobOf({dedline: 5}),
	};
	for (const [name, body] of Object.entries(cases)) {
		matchSnapshot(name, await submit(body));
	}

	assert.equal(driver.starts.length, 0);
});

test('an invalid id is refused', async () => {
	matchSnapshot('bad id', await submit(jobOf({}), {'idempotency-key': '"../other"'}));
	assert.equal(driver.starts.length, 0);
});

test('a complete answer has a Content-Length header', async () => {
	const answer = submit(jobOf({}));
	while (driver.starts.length === 0) {
		await new Promise(resolve => {
			setTimeout(resolve, 1);
		});
	}

	driver.succeed(0, 'seat 4 is free');
	matchSnapshot('complete', await answer);
});

test('an entry without configuration refuses jobs as not run', async () => {
	book.isLoaded = false;
	matchSnapshot('no configuration', await submit(jobOf({})));
	book.isLoaded = true;
});

test('readiness lists unmet conditions', async () => {
	readiness.add('configuration', () => false);
	const response = await fetch(`${url}/ready`);
	assert.deepEqual([response.status, await response.json()], [503, {status: 'not ready', missing: ['configuration']}]);
});
