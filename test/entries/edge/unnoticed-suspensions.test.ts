/** Suspensions that neither clock of an entry shows, because its wall clock was set back meanwhile. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const callerResubmissionMilliseconds = 1300;
const suspensions = [200, 310, 430, 480];
/** By how much of a suspension the wall clock is set back. */
const maskedShares = [0.9, 1, 1.1];

/** The suspended entry, b-1, owns the target. The caller disconnects the given time after the suspension begins, or before it if negative. */
type Case = {
	readonly requester: string;
	readonly suspension: number;
	readonly maskedShare: number;
	readonly disconnect: number;
	readonly first: 'timers' | 'network';
};

/** Returns whether the run goes on when its caller submits again, although its stops are lost. */
async function isRunningAtResubmission({requester, suspension, maskedShare, disconnect, first}: Case): Promise<boolean> {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget('target', 'b');
	await cluster.start();
	await cluster.advance(2000);
	const submission = world.submit(requester, id, {payload: '8000', declaredMilliseconds: 8000, timeoutMilliseconds: 20_000});
	await cluster.advance(1050);
	world.loseStops('target', true);
	const startedAt = cluster.clock.now();
	cluster.clock.schedule(Math.max(0, disconnect), () => {
		submission.disconnect();
	});
	cluster.clock.schedule(Math.max(0, -disconnect), () => {
		world.pause('b-1');
		cluster.clock.schedule(suspension, () => {
			world.clocks.get('b-1')!.advanceWallTime(-suspension * maskedShare);
			world.resume('b-1', {first, countsPause: false, socketOrder: 0});
		});
	});
	await cluster.advance(startedAt + Math.max(0, disconnect) + callerResubmissionMilliseconds - cluster.clock.now());
	return cluster.runningTasks().length > 0;
}

async function failedCases(requester: string, disconnects: readonly number[]): Promise<readonly Case[]> {
	const cases = suspensions.flatMap(suspension => maskedShares.flatMap(maskedShare => disconnects.flatMap(disconnect => (['timers', 'network'] as const).map((first): Case => ({
		requester, suspension, maskedShare, disconnect, first,
	})))));
	const failed: Case[] = [];
	for (const play of cases) {
		if (await isRunningAtResubmission(play)) {
			failed.push(play);
		}
	}

	return failed;
}

for (const requester of ['a-1', 'b-1']) {
	// Guards against a limit of the lease that an owner's suspension moves because the owner converts it anew at each renewal.
	test(`an abandoned run ends in time although its owner is suspended unnoticed afterwards (requested by ${requester})`, async () => {
		assert.deepEqual(await failedCases(requester, [-30, -60, -300, -640]), []);
	});

	// Guards against counting from when an owner reads that its caller has disconnected, or its requester's stop, after a suspension.
	test(`an abandoned run ends in time although its owner is suspended unnoticed meanwhile (requested by ${requester})`, async () => {
		assert.deepEqual(await failedCases(requester, [5, 60, 150]), []);
	});
}

// Guards against ending runs of live requesters when a suspension of their owner moves neither clock.
test('runs of live requesters go on although their owner is suspended unnoticed', async () => {
	for (const requester of ['a-1', 'b-1']) {
		for (const suspension of suspensions) {
			const world = new PausableCluster(['a-1', 'b-1'], 0);
			const {cluster} = world;
			cluster.addTarget('target', 'b');
			await cluster.start();
			await cluster.advance(2000);
			const {submitted} = world.submit(requester, id, {payload: '4000', declaredMilliseconds: 4000, timeoutMilliseconds: 20_000});
			await cluster.advance(1050);
			world.pause('b-1');
			await cluster.advance(suspension);
			world.clocks.get('b-1')!.advanceWallTime(-suspension);
			world.resume('b-1', {first: 'timers', countsPause: false, socketOrder: 0});
			await cluster.advance(6000);
			assert.deepEqual([submitted?.verdict, cluster.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 1], `${requester}, ${suspension} ms`);
		}
	}
});
