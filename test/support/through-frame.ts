/** Transfer of messages between entries, as on a connection. */
import assert from 'node:assert/strict';
import {decodeFrame} from '../../src/runtime/peers/decode-frame.js';
import {encodeFrame} from '../../src/runtime/peers/encode-frame.js';
import type {PeerMessage} from '../../src/runtime/peers/peer-message.js';

const frameHeaderBytes = 4;

/** Encodes a message as its sender does, and returns it as its receiver decodes it. */
export function throughFrame(message: PeerMessage, isForFormerPeer = false): PeerMessage {
	const bytes = encodeFrame({
		kind: 'message', ...message, stamp: 1.5, echo: 2,
	}, isForFormerPeer);
	const frame = decodeFrame(bytes.subarray(frameHeaderBytes));
	assert.ok(frame?.kind === 'message');
	return frame;
}
