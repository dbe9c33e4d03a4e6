/** Tests of the peer network on real sockets: authentication, delivery and failure detection. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {connect, createServer, type AddressInfo} from 'node:net';
import {after, test} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import {SystemClock} from '../../../src/base/system-clock.js';
import {decodeFrame} from '../../../src/runtime/peers/decode-frame.js';
import {encodeFrame} from '../../../src/runtime/peers/encode-frame.js';
import {FrameReader} from '../../../src/runtime/peers/frame-reader.js';
import type {PeerTransport} from '../../../src/runtime/peers/peer-transport.js';
import {TcpPeerNetwork} from '../../../src/runtime/peers/tcp-peer-network.js';
import {TcpTransport} from '../../../src/runtime/peers/tcp-transport.js';
import {TlsTransport} from '../../../src/runtime/peers/tls-transport.js';
import {FaultProxy} from '../../../standins/fault-proxy.js';
import {RecordingJournal} from '../../support/recording-journal.js';

async function startNetwork(instance: string, key = 'a shared key for tests', transport: PeerTransport = new TcpTransport()) {
	const journal = new RecordingJournal();
	const network = new TcpPeerNetwork({
		instance: instance as InstanceId, zone: 'zone-1' as AvailabilityZone, address: '127.0.0.1', port: 0, key, transport,
	}, new SystemClock(), journal);
	await network.listen();
	after(() => {
		network.dispose();
	});
	const received: unknown[] = [];
	network.onDidReceive(({message}) => {
		received.push(message.body);
	});
	return {network, journal, received};
}

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await wait(5);
	}
}

async function sendBytes(port: number, bytes: Uint8Array, onAnswer?: (bytes: Uint8Array) => void): Promise<void> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.on('data', (answer: Uint8Array) => {
		onAnswer?.(answer);
	});
	socket.write(bytes);
	await new Promise<void>(resolve => {
		socket.on('close', () => {
			resolve();
		});
	});
}

test('entries with the same key connect and exchange messages', async () => {
	const left = await startNetwork('entry-1');
	const right = await startNetwork('entry-2');
	left.network.send(right.network.self, {channel: 'test', body: 'hello'});
	await until(() => right.received.length > 0);
	assert.deepEqual(right.received, ['hello']);
});

test('a peer with a different key is rejected by both sides', async () => {
	const left = await startNetwork('entry-1');
	const impostor = await startNetwork('impostor', 'another key, not ours');
	impostor.network.send(left.network.self, {channel: 'test', body: 'forged'});
	await until(() => impostor.journal.named('strangerDropped').length > 0);
	const right = await startNetwork('entry-2');
	right.network.send(left.network.self, {channel: 'test', body: 'genuine'});
	await until(() => left.received.length > 0);
	assert.deepEqual(left.received, ['genuine']);
});

test('invalid data, an oversized frame and a message before the handshake close only their own connection', async () => {
	const left = await startNetwork('entry-1');
	await sendBytes(left.network.port, new TextEncoder().encode('GET / HTTP/1.1\r\n\r\n'));
	await sendBytes(left.network.port, Uint8Array.of(0xFF, 0xFF, 0xFF, 0xFF, 1));
	await sendBytes(left.network.port, encodeFrame({
		kind: 'message', channel: 'test', body: 'forged', stamp: 0, echo: 0,
	}));
	const right = await startNetwork('entry-2');
	right.network.send(left.network.self, {channel: 'test', body: 'genuine'});
	await until(() => left.received.length > 0);
	assert.deepEqual(left.received, ['genuine']);
});

// Guards against entries of two versions that share nothing without a word, and against a line for each attempt to connect.
test('a peer of another version is logged once by both sides', {timeout: 20_000}, async () => {
	const left = await startNetwork('entry-1');
	const answers: unknown[] = [];
	for (let attempt = 0; attempt < 3; attempt += 1) {
		await sendBytes(left.network.port, encodeFrame({kind: 'hello', version: 2}), bytes => {
			answers.push(decodeFrame(bytes.subarray(4)));
		});
	}

	assert.deepEqual(answers, Array.from({length: 3}, () => ({kind: 'version', version: 1})));
	assert.deepEqual(left.journal.named('peerVersionDiffers'), [{version: 2, own: 1, address: '127.0.0.1'}]);
	let connections = 0;
	const server = createServer(socket => {
		connections += 1;
		socket.end(encodeFrame({kind: 'version', version: 3}));
		socket.resume();
	});
	after(() => {
		server.close();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	left.network.discover(new Set([`127.0.0.1:${port}`]));
	await until(() => connections > 2);
	assert.deepEqual(left.journal.named('peerVersionDiffers').slice(1), [{version: 3, own: 1, address: `127.0.0.1:${port}`}]);
	assert.deepEqual(left.journal.named('strangerDropped'), []);
});

// Guards against a stranger that fills the log: a hello comes before any proof of the shared key.
test('no more than eight other versions are logged', async () => {
	const left = await startNetwork('entry-1');
	for (let version = 2; version < 20; version += 1) {
		await sendBytes(left.network.port, encodeFrame({kind: 'hello', version}));
	}

	assert.equal(left.journal.named('peerVersionDiffers').length, 8);
});

test('a refused connection confirms that a member is dead', async () => {
	const left = await startNetwork('entry-1');
	const right = await startNetwork('entry-2');
	const dead: string[] = [];
	left.network.onDidConfirmDeath(id => {
		dead.push(id);
	});
	left.network.monitor(new Set([right.network.self.peerAddress]));
	left.network.send(right.network.self, {channel: 'test', body: 1});
	await until(() => right.received.length > 0);
	right.network.dispose();
	await until(() => dead.length > 0);
	assert.deepEqual(dead, [right.network.self.id]);
});

test('a new incarnation confirms the death of the previous one and does not get its messages', async () => {
	const left = await startNetwork('entry-1');
	const right = await startNetwork('entry-2');
	const previous = right.network.self;
	left.network.monitor(new Set([previous.peerAddress]));
	left.network.send(previous, {channel: 'test', body: 'first'});
	await until(() => right.received.length > 0);
	const dead: string[] = [];
	left.network.onDidConfirmDeath(id => {
		dead.push(id);
	});
	await wait(2);
	right.network.renewIncarnation();
	await until(() => dead.length > 0);
	left.network.send(previous, {channel: 'test', body: 'for the previous incarnation'});
	left.network.send(right.network.self, {channel: 'test', body: 'for the new incarnation'});
	await until(() => right.received.length > 1);
	assert.deepEqual(right.received, ['first', 'for the new incarnation']);
});

test('over TLS, entries with certificates of the authority connect, and unencrypted ones are rejected', async () => {
	const read = (name: string) => readFileSync(`test/runtime/peers/certificates/${name}.pem`, 'utf8');
	const transport = new TlsTransport({certificate: read('certificate'), privateKey: read('private-key'), authority: read('certificate')});
	const left = await startNetwork('entry-1', undefined, transport);
	const right = await startNetwork('entry-2', undefined, transport);
	const plain = await startNetwork('plain');
	plain.network.send(left.network.self, {channel: 'test', body: 'plain'});
	right.network.send(left.network.self, {channel: 'test', body: 'encrypted'});
	await until(() => left.received.length > 0);
	assert.deepEqual(left.received, ['encrypted']);
});

test('an address that closes connections is redialled until a peer responds', async () => {
	// Guards against never discovering an entry that was listed before it was ready.
	const server = createServer(socket => {
		socket.destroy();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const left = await startNetwork('entry-1');
	const discovered: string[] = [];
	left.network.onDidDiscover(member => {
		discovered.push(member.instance);
	});
	left.network.discover(new Set([`127.0.0.1:${port}`]));
	await wait(1500);
	server.removeAllListeners('connection');
	const right = await startNetwork('entry-2');
	server.on('connection', near => {
		const far = connect(right.network.port, '127.0.0.1');
		near.pipe(far).pipe(near);
		near.on('error', () => undefined);
		far.on('error', () => undefined);
		near.on('close', () => far.destroy());
	});
	await until(() => discovered.length > 0);
	assert.deepEqual(discovered, ['entry-2']);
	server.close();
});

test('frames are extracted however the stream is split', () => {
	const reader = new FrameReader(100);
	const bytes = [...encodeFrame('one'), ...encodeFrame('two')];
	const frames = bytes.flatMap(byte => reader.push(Uint8Array.of(byte)) ?? []);
	assert.equal(frames.length, 2);
	assert.equal(new FrameReader(3).push(encodeFrame('too long')), undefined);
});

// Guards against a connection that hangs during the handshake and is never replaced.
test('a connection whose handshake gets no response is redialled', {timeout: 20_000}, async () => {
	const left = await startNetwork('entry-1');
	const right = await startNetwork('entry-2');
	const relay = new FaultProxy(false, false);
	after(() => {
		relay.close();
	});
	relay.forwardTo(right.network.self.peerAddress);
	const address = await relay.listen();
	relay.partition(() => true);
	left.network.monitor(new Set([address]));
	await wait(300);
	relay.blackholeOpenConnections();
	relay.partition(() => false);
	let discovered = 0;
	left.network.onDidDiscover(() => {
		discovered += 1;
	});
	await until(() => discovered > 0);
	assert.equal(discovered, 1);
});
