/** Encoding and decoding of takeover messages. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JobId} from '../../../src/base/job-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import {decodeTakeover} from '../../../src/features/takeovers/decode-takeover.js';
import {encodeTakeover} from '../../../src/features/takeovers/encode-takeover.js';
import type {TakeoverMessage} from '../../../src/features/takeovers/takeover-message.js';
import {cbor} from '../../../src/runtime/peers/cbor.js';

const job = 'job' as JobId;
const takeovers = [{job, timeoutMilliseconds: 3700, claimant: 'c-1#1' as MemberId}];
const messages: readonly TakeoverMessage[] = [
	{
		kind: 'request', round: 3, isToRelay: true, takeovers,
	},
	{kind: 'notice', takeovers},
	{
		kind: 'answer', round: 3, busy: [job], relayed: ['other' as JobId],
	},
	{kind: 'ended', jobs: [job], mayHaveRun: [job]},
];

// Guards against values that are read in another order than they are written.
test('takeover messages survive encoding', () => {
	assert.deepEqual(messages.map(message => decodeTakeover(cbor.decode(cbor.encode(encodeTakeover(message))))), messages);
});

// Guards against messages of other versions that stop the process or are half read.
test('malformed takeover messages are refused', () => {
	for (const body of [undefined, [], [99], [0, 1, true, ['job']], [2, 1, [7], []], [3, 'job'], [0, 1, true, [['job', Number.NaN, 'member']]], [1, [['job', Number.NEGATIVE_INFINITY, 'member']]]]) {
		assert.throws(() => decodeTakeover(body), TypeError);
	}
});
