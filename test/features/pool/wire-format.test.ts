/**
 * The layout of frames and messages on the wire. Entries of two versions run beside each other during every rolling replacement, and
 * the handshake's version is all that keeps entries of different layouts apart. So within one version a pinned layout stays as it is;
 * values may only be added at the end of a list, where entries of before ignore them, and get bytes of their own here.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {decodeFrame} from '../../../src/features/pool/decode-frame.js';
import {decodeMessages} from '../../../src/features/pool/decode-messages.js';
import {encodeFrame} from '../../../src/features/pool/encode-frame.js';
import {encodeMessages} from '../../../src/features/pool/encode-messages.js';
import {messageCode} from '../../../src/features/pool/message-code.js';
import {cbor} from '../../../src/runtime/peers/cbor.js';
import {formerFrames, frameWithoutEpochs, presentFrames} from '../../support/pinned-frames.js';
import {commonMessages, extendedMessages} from '../../support/pinned-messages.js';

const pinned = Object.entries({...commonMessages, ...extendedMessages});

function toHex(value: unknown): string {
	return Buffer.from(cbor.encode(value)).toString('hex');
}

function fromHex(bytes: string): unknown {
	return cbor.decode(Buffer.from(bytes, 'hex'));
}

for (const [name, {messages, bytes}] of pinned) {
	test(`the layout is unchanged: ${name}`, () => {
		assert.equal(toHex(encodeMessages(messages)), bytes);
		assert.deepEqual(decodeMessages(fromHex(bytes)), messages);
	});
}

// Guards against a new kind of message that the layouts above leave out.
test('each message code has a pinned layout', () => {
	const codes = pinned.flatMap(([, {bytes}]) => (fromHex(bytes) as ReadonlyArray<readonly unknown[]>).map(([code]) => code));
	assert.deepEqual(new Set(codes), new Set(Object.values(messageCode)));
});

test('the layout of frames is unchanged', () => {
	for (const {frame, bytes} of presentFrames) {
		assert.equal(toHex(encodeFrame(frame)), bytes);
		assert.deepEqual(decodeFrame(fromHex(bytes)), frame);
	}
});

for (const [name, {frame, bytes}] of Object.entries(formerFrames)) {
	test(`former frames are read: ${name}`, () => {
		assert.deepEqual(decodeFrame(fromHex(bytes)), frame);
	});

	// What the former decoder reads, it reads by position: the values of its own layout come first, and the others are ignored.
	test(`former entries read present frames: ${name}`, () => {
		const former = fromHex(bytes) as readonly unknown[];
		for (const present of presentFrames) {
			assert.deepEqual((fromHex(present.bytes) as readonly unknown[]).slice(0, former.length), former);
		}
	});
}

// Guards against messages of a frame that are taken for epochs, or the reverse.
test('a frame from before epochs is rejected as a whole', () => {
	assert.throws(() => decodeFrame(fromHex(frameWithoutEpochs)), TypeError);
	assert.throws(() => decodeFrame([]), TypeError);
});
