/** Tests the registry under one or two faults. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {rankByKey} from '../../../src/base/rank-by-key.js';
import type {SubmissionId} from '../../../src/base/submission-id.js';
import {RegistrySimulation} from './registry-simulation.js';

const id = 'booking-17' as SubmissionId;

/** Creates a simulation whose entries have joined the group, and returns the id's primary, backup and third entry. */
async function createSimulation(entries = 3) {
	const simulation = new RegistrySimulation('none', entries);
	await simulation.advance(2000);
	const [primary, backup, third] = rankByKey(id, simulation.nodes, node => node.member.instance);
	return {
		simulation, primary: primary!, backup: backup!, third: third!,
	};
}

function conclusionKinds(simulation: RegistrySimulation): readonly string[] {
	return simulation.conclusions.map(({verdict}) => verdict.kind === 'answered' ? 'answered' : `${verdict.kind} ${verdict.cause}`);
}

test('a submission sent to two entries at the same time starts once', async () => {
	// Guards against running a submission twice when a load balancer sends it to two entries.
	const {simulation, primary, third} = await createSimulation();
	simulation.submit(primary, id);
	simulation.submit(third, id);
	await simulation.advance(2000);
	assert.equal(simulation.starts.get(id)?.length, 1);
	assert.deepEqual(conclusionKinds(simulation), ['answered']);
});

test('a submission repeated after its answer gets that answer', async () => {
	const {simulation, primary, third} = await createSimulation();
	simulation.submit(primary, id);
	await simulation.advance(2000);
	simulation.submit(third, id);
	await simulation.advance(500);
	assert.deepEqual([simulation.starts.get(id)?.length, conclusionKinds(simulation)], [1, ['answered']]);
});

test('after the primary dies, the backup knows of the grant and nothing starts again', async () => {
	// Guards against running a submission twice when the primary dies during the run.
	const {simulation, primary, backup, third} = await createSimulation();
	simulation.submit(third, id, 3000);
	await simulation.advance(300);
	simulation.kill(primary);
	await simulation.advance(1000);
	simulation.submit(backup, id);
	await simulation.advance(5000);
	assert.deepEqual([simulation.starts.get(id)?.length, conclusionKinds(simulation)], [1, ['answered']]);
});

test('if the primary dies before it grants, the claim goes to the backup and starts once', async () => {
	const {simulation, primary, third} = await createSimulation();
	simulation.kill(primary);
	simulation.submit(third, id);
	await simulation.advance(3000);
	assert.equal(simulation.starts.get(id)?.length, 1);
});

test('if primary and backup die together, the third registrar concludes that the submission may have run', async () => {
	// Guards against granting an id after the loss of both copies of its record.
	const {simulation, primary, backup, third} = await createSimulation();
	simulation.submit(primary, id, 60_000);
	await simulation.advance(300);
	simulation.kill(primary);
	simulation.kill(backup);
	await simulation.advance(1000);
	simulation.submit(third, id);
	await simulation.advance(4000);
	assert.deepEqual([simulation.starts.get(id)?.length, conclusionKinds(simulation)], [1, ['mayHaveRun cannotVouch']]);
});

test('an id created after the loss of primary and backup is granted', async () => {
	const {simulation, primary, backup, third} = await createSimulation();
	simulation.kill(primary);
	simulation.kill(backup);
	await simulation.advance(5000);
	const time = simulation.now.toString(16).padStart(12, '0');
	const fresh = `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-000000000000` as SubmissionId;
	simulation.submit(third, fresh);
	await simulation.advance(1000);
	assert.equal(simulation.starts.get(fresh)?.length, 1);
});

test('if the executor dies, later claims learn that the submission may have run', async () => {
	const {simulation, primary, backup, third} = await createSimulation();
	simulation.submit(third, id, 3000);
	await simulation.advance(300);
	simulation.kill(third);
	await simulation.advance(1000);
	simulation.submit(primary, id);
	simulation.submit(backup, id);
	await simulation.advance(2000);
	assert.deepEqual([simulation.starts.get(id)?.length, conclusionKinds(simulation)], [1, ['mayHaveRun executorLost', 'mayHaveRun executorLost']]);
});

test('a primary that resumes after a takeover rejoins before it decides', async () => {
	// Guards against a grant by a primary that resumes after its backup has taken over.
	const {simulation, primary, backup, third} = await createSimulation();
	simulation.pause(primary, 10_000);
	await simulation.advance(4000);
	simulation.submit(backup, id, 200);
	await simulation.advance(2000);
	assert.equal(simulation.starts.get(id)?.length, 1);
	await simulation.advance(6000);
	simulation.submit(primary, id);
	simulation.submit(third, id);
	await simulation.advance(3000);
	assert.deepEqual([simulation.starts.get(id)?.length, conclusionKinds(simulation)], [1, ['answered', 'answered']]);
	assert.ok(simulation.journal.named('registrarPaused').length > 0);
});

test('a claim isn\'t granted until its copy is acknowledged', async () => {
	const {simulation, primary, backup} = await createSimulation();
	simulation.cut(backup, primary);
	simulation.submit(primary, id);
	await simulation.advance(1000);
	assert.equal(simulation.starts.get(id), undefined);
	simulation.heal();
	await simulation.advance(1000);
	assert.equal(simulation.starts.get(id)?.length, 1);
});

test('if primary and backup can\'t reach each other, at most one of them grants', async () => {
	// Guards against two grants of one id during a network partition.
	const {simulation, primary, backup} = await createSimulation(2);
	simulation.cut(primary, backup);
	simulation.cut(backup, primary);
	await simulation.advance(4000);
	simulation.submit(primary, id);
	simulation.submit(backup, id);
	await simulation.advance(9000);
	assert.equal(simulation.starts.get(id)?.length, 1);
	simulation.heal();
	await simulation.advance(4000);
	simulation.submit(primary, id);
	await simulation.advance(1000);
	assert.equal(simulation.starts.get(id)?.length, 1);
});

test('a primary that can\'t receive acknowledgements doesn\'t grant', async () => {
	const {simulation, primary, backup, third} = await createSimulation();
	simulation.cut(backup, primary);
	await simulation.advance(4000);
	simulation.submit(third, id);
	simulation.submit(primary, id);
	await simulation.advance(9000);
	assert.ok((simulation.starts.get(id)?.length ?? 0) <= 1);
});

test('a partitioned backup that isn\'t on the instance list doesn\'t take over', async () => {
	// Guards against two grants when the partitioned backup is removed from the instance list: it must not take over, and
	// the primary must not grant ids that the backup may have granted before its removal.
	const {simulation, primary, backup} = await createSimulation(2);
	simulation.cut(primary, backup);
	simulation.cut(backup, primary);
	simulation.delist(backup);
	await simulation.advance(12_000);
	simulation.submit(primary, id);
	simulation.submit(backup, id);
	await simulation.advance(9000);
	assert.deepEqual([simulation.starts.get(id), conclusionKinds(simulation)], [undefined, ['mayHaveRun cannotVouch', 'mayHaveRun homeUnreachable']]);
});

test('a joining entry that ranks first receives the records before it decides', async () => {
	const {simulation, primary, third} = await createSimulation();
	simulation.submit(third, id, 500);
	await simulation.advance(1000);
	// Enough entries that one of them ranks before the current primary.
	for (let index = 0; index < 6; index++) {
		simulation.add();
	}

	await simulation.advance(2000);
	const [first] = rankByKey(id, simulation.nodes, node => node.member.instance);
	assert.notEqual(first, primary);
	simulation.submit(first!, id);
	await simulation.advance(1000);
	assert.deepEqual([simulation.starts.get(id)?.length, conclusionKinds(simulation)], [1, ['answered']]);
});

test('a rolling replacement of all entries loses no record', async () => {
	// Guards against losing a stored result when all entries are replaced one after another.
	const {simulation, third} = await createSimulation();
	simulation.submit(third, id, 300);
	await simulation.advance(1000);
	const old = [...simulation.nodes];
	for (const node of old) {
		simulation.add();
		await simulation.advance(1500);
		simulation.leave(node);
		await simulation.advance(1500);
	}

	simulation.submit(simulation.live[0]!, id);
	await simulation.advance(1000);
	assert.deepEqual([simulation.starts.get(id)?.length, conclusionKinds(simulation)], [1, ['answered']]);
});

test('after all entries of a zone were replaced, an id without a timestamp may have run', async () => {
	const {simulation} = await createSimulation(2);
	for (const node of simulation.live) {
		simulation.kill(node);
	}

	await simulation.advance(1000);
	const joined = simulation.add();
	await simulation.advance(2500);
	simulation.submit(joined, id);
	await simulation.advance(1000);
	assert.deepEqual([simulation.starts.get(id), conclusionKinds(simulation)], [undefined, ['mayHaveRun cannotVouch']]);
});

test('if the home zone is unreachable, the caller gets its answer soon', async () => {
	const {simulation, primary, backup, third} = await createSimulation();
	for (const node of [primary, backup]) {
		simulation.pause(node, 60_000);
	}

	await simulation.advance(500);
	simulation.losePlatform();
	simulation.submit(third, id);
	await simulation.advance(3500);
	assert.deepEqual([simulation.starts.get(id), conclusionKinds(simulation)], [undefined, ['mayHaveRun homeUnreachable']]);
});

test('a known id with different content is refused as not run', async () => {
	const {simulation, primary} = await createSimulation();
	simulation.submit(primary, id);
	await simulation.advance(1000);
	const claim = primary.client.claim({id, fingerprint: 'other', deadlineAt: simulation.now + 1000}, {
		isCancellationRequested: false, onDidRequestCancellation: () => ({
			dispose() {
				// Never fires.
			},
		}),
	});
	await simulation.advance(200);
	const concluded = await claim;
	assert.equal(concluded.kind === 'concluded' && concluded.verdict.kind === 'notRun' && concluded.verdict.cause, 'conflictingReuse');
});

test('messages of a sender outside the group change nothing', async () => {
	const {simulation, primary} = await createSimulation();
	const record = {
		id, fingerprint: 'same', executor: 'unknown#1' as MemberId, nonce: 'n', version: 1, remainingMilliseconds: 9000, verdict: {kind: 'answered', answer: {kind: 'complete', results: ['forged']}},
	} as const;
	primary.registrar.receive('unknown#1' as MemberId, {
		kind: 'copy', era: 1, record, fenced: [],
	});
	assert.equal(primary.registrar.records, 0);
});
