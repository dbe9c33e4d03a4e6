/** The layout of the peer protocol's own frames, which entries of two versions exchange during every rolling replacement. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {decodeFrame} from '../../../src/runtime/peers/decode-frame.js';
import {encodeFrame} from '../../../src/runtime/peers/encode-frame.js';

const member = {
	id: 'entry#1', instance: 'entry', zone: 'zone', peerAddress: '10.0.0.1:1',
};
const frames = [
	{
		kind: 'hello', version: 1, nonce: '00ff', member,
	},
	{
		kind: 'welcome', version: 1, nonce: '00ff', proof: '11ee', member,
	},
	{kind: 'proof', proof: '11ee'},
	{
		kind: 'message', channel: 'pool', body: [0, 1], stamp: 4711, echo: 4712,
	},
	{kind: 'ping', stamp: 4711},
	{kind: 'pong', stamp: 4711},
];
/** Hexadecimal digits of the length and the CBOR of each frame. */
const bytes = [
	'00000067b90004646b696e646568656c6c6f6776657273696f6e01656e6f6e63656430306666666d656d626572b9000462696467656e747279233168696e7374616e63656565'
	+ '6e747279647a6f6e65647a6f6e656b70656572416464726573736a31302e302e302e313a31',
	'00000074b90005646b696e646777656c636f6d656776657273696f6e01656e6f6e636564303066666570726f6f666431316565666d656d626572b9000462696467656e747279'
	+ '233168696e7374616e636565656e747279647a6f6e65647a6f6e656b70656572416464726573736a31302e302e302e313a31',
	'00000019b90002646b696e646570726f6f666570726f6f666431316565',
	'00000036b90005646b696e64676d657373616765676368616e6e656c64706f6f6c64626f6479820001657374616d70191267646563686f191268',
	'00000016b90002646b696e646470696e67657374616d70191267',
	'00000016b90002646b696e6464706f6e67657374616d70191267',
];

test('the layout of handshake, messages and pings is unchanged', () => {
	assert.deepEqual(frames.map(frame => Buffer.from(encodeFrame(frame)).toString('hex')), bytes);
	assert.deepEqual(bytes.map(frame => decodeFrame(Buffer.from(frame, 'hex').subarray(4))), frames);
});

// Guards against entries of different layouts that take each other for peers.
test('of a hello of another version only the version is read, and a welcome of another version is rejected', () => {
	const [hello, welcome] = frames;
	assert.deepEqual(decodeFrame(encodeFrame({...hello, version: 2}).subarray(4)), {kind: 'version', version: 2});
	assert.deepEqual(decodeFrame(encodeFrame({kind: 'hello', version: 2, other: 'fields'}).subarray(4)), {kind: 'version', version: 2});
	for (const malformed of [{...hello, member: 'entry'}, {kind: 'hello', version: 'two'}, {kind: 'hello', version: 1.5}, {...welcome, version: 2}]) {
		assert.equal(decodeFrame(encodeFrame(malformed).subarray(4)), undefined);
	}
});
