/** The registry under one fault at a time, and under two. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import {rankByKey} from '../../../src/base/rank-by-key.js';
import type {SubmissionId} from '../../../src/base/submission-id.js';
import {RegistryWorld} from './registry-world.js';

const id = 'booking-17' as SubmissionId;

/** A world whose entries have entered the circle, with the id's owner, the copy's holder and the rest. */
async function worldOf(entries = 3) {
	const world = new RegistryWorld('none', entries);
	await world.advance(2000);
	const [owner, holder, third] = rankByKey(id, world.nodes, node => node.member.instance);
	return {
		world, owner: owner!, holder: holder!, third: third!,
	};
}

function kinds(world: RegistryWorld): readonly string[] {
	return world.conclusions.map(({verdict}) => verdict.kind === 'answered' ? 'answered' : `${verdict.kind} ${verdict.cause}`);
}

test('two copies of one submission at two entries at the same instant start once', async () => {
	// The balancer repeats a charge and sends the copies to two entries.
	// Each asks the same owner; the second waits and gets the first one's answer.
	const {world, owner, third} = await worldOf();
	world.submit(owner, id);
	world.submit(third, id);
	await world.advance(2000);
	assert.equal(world.starts.get(id)?.length, 1);
	assert.deepEqual(kinds(world), ['answered']);
});

test('a copy that comes after the answer gets that answer', async () => {
	const {world, owner, third} = await worldOf();
	world.submit(owner, id);
	await world.advance(2000);
	world.submit(third, id);
	await world.advance(500);
	assert.deepEqual([world.starts.get(id)?.length, kinds(world)], [1, ['answered']]);
});

test('the owner dies after the grant: the copy\'s holder knows, and nothing starts again', async () => {
	// A family's booking runs at one entry when the entry that recorded it dies.
	// The family's tablet asks again elsewhere: without the copy, the seat would be sold twice.
	const {world, owner, holder, third} = await worldOf();
	world.submit(third, id, 3000);
	await world.advance(300);
	world.kill(owner);
	await world.advance(1000);
	world.submit(holder, id);
	await world.advance(5000);
	assert.deepEqual([world.starts.get(id)?.length, kinds(world)], [1, ['answered']]);
});

test('the owner dies before it grants: the claim goes to the next, and starts once', async () => {
	const {world, owner, third} = await worldOf();
	world.kill(owner);
	world.submit(third, id);
	await world.advance(3000);
	assert.equal(world.starts.get(id)?.length, 1);
});

test('owner and copy\'s holder die together: the third can\'t vouch, and says so', async () => {
	// Both entries that knew of the booking are lost with their rack.
	// The third has no record: granting would be a guess, so the caller learns that it may have run.
	const {world, owner, holder, third} = await worldOf();
	world.submit(owner, id, 60_000);
	await world.advance(300);
	world.kill(owner);
	world.kill(holder);
	await world.advance(1000);
	world.submit(third, id);
	await world.advance(4000);
	assert.deepEqual([world.starts.get(id)?.length, kinds(world)], [1, ['mayHaveRun cannotVouch']]);
});

test('after that loss, an id that was made later is served', async () => {
	const {world, owner, holder, third} = await worldOf();
	world.kill(owner);
	world.kill(holder);
	await world.advance(5000);
	const time = world.now.toString(16).padStart(12, '0');
	const fresh = `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-000000000000` as SubmissionId;
	world.submit(third, fresh);
	await world.advance(1000);
	assert.equal(world.starts.get(fresh)?.length, 1);
});

test('the executor dies: another copy learns that it may have run, and isn\'t started', async () => {
	const {world, owner, holder, third} = await worldOf();
	world.submit(third, id, 3000);
	await world.advance(300);
	world.kill(third);
	await world.advance(1000);
	world.submit(owner, id);
	world.submit(holder, id);
	await world.advance(2000);
	assert.deepEqual([world.starts.get(id)?.length, kinds(world)], [1, ['mayHaveRun executorLost', 'mayHaveRun executorLost']]);
});

test('the owner is paused: the holder takes over; the owner wakes and asks before it decides', async () => {
	// An entry is stopped for ten seconds while it owns a booking's id. The holder of the copy takes its place and grants
	// the booking. When the owner wakes it has no record of it: it must enter the circle again before it grants.
	const {world, owner, holder, third} = await worldOf();
	world.pause(owner, 10_000);
	await world.advance(4000);
	world.submit(holder, id, 200);
	await world.advance(2000);
	assert.equal(world.starts.get(id)?.length, 1);
	await world.advance(6000);
	world.submit(owner, id);
	world.submit(third, id);
	await world.advance(3000);
	assert.deepEqual([world.starts.get(id)?.length, kinds(world)], [1, ['answered', 'answered']]);
	assert.ok(world.journal.named('registrarPaused').length > 0);
});

test('the copy\'s reply is lost: the claim isn\'t granted until another reply comes', async () => {
	const {world, owner, holder} = await worldOf();
	world.cut(holder, owner);
	world.submit(owner, id);
	await world.advance(1000);
	assert.equal(world.starts.get(id), undefined);
	world.heal();
	await world.advance(1000);
	assert.equal(world.starts.get(id)?.length, 1);
});

test('owner and holder can\'t reach each other: at most one of them grants', async () => {
	// A switch fails between two entries of a zone. Both live, both have callers, and each believes the other dead.
	// The owner can't grant without the copy; the holder fences it and decides alone.
	const {world, owner, holder} = await worldOf(2);
	world.cut(owner, holder);
	world.cut(holder, owner);
	await world.advance(4000);
	world.submit(owner, id);
	world.submit(holder, id);
	await world.advance(9000);
	assert.equal(world.starts.get(id)?.length, 1);
	world.heal();
	await world.advance(4000);
	world.submit(owner, id);
	await world.advance(1000);
	assert.equal(world.starts.get(id)?.length, 1);
});

test('a one-way cut: what the owner can\'t hear it doesn\'t grant on', async () => {
	const {world, owner, holder, third} = await worldOf();
	world.cut(holder, owner);
	await world.advance(4000);
	world.submit(third, id);
	world.submit(owner, id);
	await world.advance(9000);
	assert.ok((world.starts.get(id)?.length ?? 0) <= 1);
});

test('an entry that the platform dropped, and that hears nobody, doesn\'t act in another\'s place', async () => {
	// The holder is cut off from the owner and delisted: the owner goes on without it by the list's word.
	// If the holder fenced the owner as well, both would grant. Between the cut and the list's word the holder may have
	// granted: the owner can't vouch for older ids.
	const {world, owner, holder} = await worldOf(2);
	world.cut(owner, holder);
	world.cut(holder, owner);
	world.delist(holder);
	await world.advance(12_000);
	world.submit(owner, id);
	world.submit(holder, id);
	await world.advance(9000);
	assert.deepEqual([world.starts.get(id), kinds(world)], [undefined, ['mayHaveRun cannotVouch', 'mayHaveRun homeUnreachable']]);
});

test('a new entry that ranks first inherits before it decides', async () => {
	const {world, owner, third} = await worldOf();
	world.submit(third, id, 500);
	await world.advance(1000);
	// Enough newcomers that one of them ranks before the present owner.
	for (let index = 0; index < 6; index++) {
		world.add();
	}

	await world.advance(2000);
	const [first] = rankByKey(id, world.nodes, node => node.member.instance);
	assert.notEqual(first, owner);
	world.submit(first!, id);
	await world.advance(1000);
	assert.deepEqual([world.starts.get(id)?.length, kinds(world)], [1, ['answered']]);
});

test('a rolling replacement of all entries loses no record', async () => {
	// All entries of a zone are replaced one after the other while a result is remembered.
	const {world, third} = await worldOf();
	world.submit(third, id, 300);
	await world.advance(1000);
	const old = [...world.nodes];
	for (const node of old) {
		world.add();
		await world.advance(1500);
		world.leave(node);
		await world.advance(1500);
	}

	world.submit(world.live[0]!, id);
	await world.advance(1000);
	assert.deepEqual([world.starts.get(id)?.length, kinds(world)], [1, ['answered']]);
});

test('all entries of a zone die, and new ones come: an id without a time may have run', async () => {
	const {world} = await worldOf(2);
	for (const node of world.live) {
		world.kill(node);
	}

	await world.advance(1000);
	const newcomer = world.add();
	await world.advance(2500);
	world.submit(newcomer, id);
	await world.advance(1000);
	assert.deepEqual([world.starts.get(id), kinds(world)], [undefined, ['mayHaveRun cannotVouch']]);
});

test('nobody of the home zone can be reached: the caller gets its answer soon', async () => {
	const {world, owner, holder, third} = await worldOf();
	for (const node of [owner, holder]) {
		world.pause(node, 60_000);
	}

	await world.advance(500);
	world.losePlatform();
	world.submit(third, id);
	await world.advance(3500);
	assert.deepEqual([world.starts.get(id), kinds(world)], [undefined, ['mayHaveRun homeUnreachable']]);
});

test('another content under a known id is refused as not run', async () => {
	const {world, owner} = await worldOf();
	world.submit(owner, id);
	await world.advance(1000);
	const claim = owner.desk.claim({id, fingerprint: 'other', deadlineAt: world.now + 1000}, {
		isCancellationRequested: false, onDidRequestCancellation: () => ({
			dispose() {
				// Never fires.
			},
		}),
	});
	await world.advance(200);
	const concluded = await claim;
	assert.equal(concluded.kind === 'concluded' && concluded.verdict.kind === 'notRun' && concluded.verdict.cause, 'conflictingReuse');
});

test('messages of a stranger to the circle change nothing', async () => {
	const {world, owner} = await worldOf();
	const record = {
		id, fingerprint: 'same', executor: 'stranger#1' as MemberId, nonce: 'n', version: 1, remainingMilliseconds: 9000, verdict: {kind: 'answered', answer: {kind: 'complete', results: ['forged']}},
	} as const;
	owner.registrar.receive('stranger#1' as MemberId, {
		kind: 'copy', era: 1, record, fenced: [],
	});
	assert.equal(owner.registrar.records, 0);
});
