/** Requests for takeovers of resubmitted jobs. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JobId} from '../../../src/base/job-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import {TakeoverRequests} from '../../../src/features/takeovers/takeover-requests.js';
import {FakeClock} from '../../support/fake-clock.js';

const claimant = 'self' as MemberId;

/** Requests a takeover every 5 ms for a second, and returns how many frames were sent and how many jobs may be started a second later. */
function storm(peerCount: number): {readonly frames: number; readonly finished: number} {
	const clock = new FakeClock();
	const counts = {frames: 0, finished: 0};
	const peers = Array.from({length: peerCount}, (_, index) => [`peer-${index}` as MemberId, false] as const);
	let round = 0;
	const requests = new TakeoverRequests({
		peers: () => peers,
		nextRound() {
			round += 1;
			return round;
		},
		yieldLocally() {
			// No runs here.
		},
		send() {
			counts.frames += 1;
		},
		clock,
	});
	requests.onDidFinish(() => {
		counts.finished += 1;
	});
	for (let job = 0; job < 200; job += 1) {
		requests.request({job: `job-${job}` as JobId, timeoutMilliseconds: 200, claimant});
		clock.advance(5);
	}

	const {frames} = counts;
	clock.advance(1000);
	return {frames, finished: counts.finished};
}

// Guards against a storm of resubmissions that sends requests by the number of jobs times peers.
test('a storm of resubmissions sends at most 250 requests a second and entry in a fleet of any size, and holds up no job', () => {
	for (const peerCount of [7, 38, 96]) {
		const {frames, finished} = storm(peerCount);
		// The first round is sent at once.
		assert.equal(frames <= 250 + peerCount, true, `${frames} frames to ${peerCount} peers`);
		assert.equal(finished, 200);
	}
});
