/** The entries' network on real sockets: who is let in, and what the others learn. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {connect, createServer, type AddressInfo} from 'node:net';
import {after, test} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import {SystemClock} from '../../../src/base/system-clock.js';
import {encodeFrame} from '../../../src/runtime/peers/encode-frame.js';
import {FrameReader} from '../../../src/runtime/peers/frame-reader.js';
import type {PeerTransport} from '../../../src/runtime/peers/peer-transport.js';
import {TcpPeerNetwork} from '../../../src/runtime/peers/tcp-peer-network.js';
import {TcpTransport} from '../../../src/runtime/peers/tcp-transport.js';
import {TlsTransport} from '../../../src/runtime/peers/tls-transport.js';
import {FaultProxy} from '../../../standins/fault-proxy.js';
import {RecordingJournal} from '../../support/recording-journal.js';

async function networkOf(instance: string, key = 'a shared key for tests', transport: PeerTransport = new TcpTransport()) {
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

async function send(port: number, bytes: Uint8Array): Promise<void> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.write(bytes);
	await new Promise<void>(resolve => {
		socket.on('close', () => {
			resolve();
		});
	});
}

test('entries with the same key meet, and messages arrive', async () => {
	const left = await networkOf('entry-1');
	const right = await networkOf('entry-2');
	left.network.send(right.network.self, {channel: 'test', body: 'seat 4'});
	await until(() => right.received.length > 0);
	assert.deepEqual(right.received, ['seat 4']);
});

test('a stranger without the key is dropped at either end, and the entry goes on', async () => {
	const left = await networkOf('entry-1');
	const stranger = await networkOf('stranger', 'another key, not ours');
	stranger.network.send(left.network.self, {channel: 'test', body: 'forged'});
	await until(() => stranger.journal.named('strangerDropped').length > 0);
	const right = await networkOf('entry-2');
	right.network.send(left.network.self, {channel: 'test', body: 'true'});
	await until(() => left.received.length > 0);
	assert.deepEqual(left.received, ['true']);
});

test('garbage, an oversized frame and a message before the proof end their connections only', async () => {
	const left = await networkOf('entry-1');
	await send(left.network.port, new TextEncoder().encode('GET / HTTP/1.1\r\n\r\n'));
	await send(left.network.port, Uint8Array.of(0xFF, 0xFF, 0xFF, 0xFF, 1));
	await send(left.network.port, encodeFrame({
		kind: 'message', channel: 'test', body: 'forged', stamp: 0, echo: 0,
	}));
	const right = await networkOf('entry-2');
	right.network.send(left.network.self, {channel: 'test', body: 'true'});
	await until(() => left.received.length > 0);
	assert.deepEqual(left.received, ['true']);
});

test('a refused connection proves a member gone', async () => {
	const left = await networkOf('entry-1');
	const right = await networkOf('entry-2');
	const dead: string[] = [];
	left.network.onDidProveDead(id => {
		dead.push(id);
	});
	left.network.watch(new Set([right.network.self.peerAddress]));
	left.network.send(right.network.self, {channel: 'test', body: 1});
	await until(() => right.received.length > 0);
	right.network.dispose();
	await until(() => dead.length > 0);
	assert.deepEqual(dead, [right.network.self.id]);
});

test('a new life at an address proves the earlier one gone, and gets none of its messages', async () => {
	const left = await networkOf('entry-1');
	const right = await networkOf('entry-2');
	const earlier = right.network.self;
	left.network.watch(new Set([earlier.peerAddress]));
	left.network.send(earlier, {channel: 'test', body: 'first'});
	await until(() => right.received.length > 0);
	const dead: string[] = [];
	left.network.onDidProveDead(id => {
		dead.push(id);
	});
	await wait(2);
	right.network.renew();
	await until(() => dead.length > 0);
	left.network.send(earlier, {channel: 'test', body: 'for the earlier life'});
	left.network.send(right.network.self, {channel: 'test', body: 'for the new life'});
	await until(() => right.received.length > 1);
	assert.deepEqual(right.received, ['first', 'for the new life']);
});

test('over TLS, entries with certificates of the authority meet, and plain ones stay outside', async () => {
	const read = (name: string) => readFileSync(`test/runtime/peers/certificates/${name}.pem`, 'utf8');
	const transport = new TlsTransport({certificate: read('certificate'), privateKey: read('private-key'), authority: read('certificate')});
	const left = await networkOf('entry-1', undefined, transport);
	const right = await networkOf('entry-2', undefined, transport);
	const plain = await networkOf('plain');
	plain.network.send(left.network.self, {channel: 'test', body: 'plain'});
	right.network.send(left.network.self, {channel: 'test', body: 'sealed'});
	await until(() => left.received.length > 0);
	assert.deepEqual(left.received, ['sealed']);
});

test('an address that first breaks connections is dialled until somebody answers there', async () => {
	// An entry is listed a moment before it can serve: whoever dials then finds a port that breaks the connection.
	// A newcomer that gave up would wait forever for an entry that it never meets.
	const server = createServer(socket => {
		socket.destroy();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const left = await networkOf('entry-1');
	const met: string[] = [];
	left.network.onDidMeet(member => {
		met.push(member.instance);
	});
	left.network.meet(new Set([`127.0.0.1:${port}`]));
	await wait(1500);
	server.removeAllListeners('connection');
	const right = await networkOf('entry-2');
	server.on('connection', near => {
		const far = connect(right.network.port, '127.0.0.1');
		near.pipe(far).pipe(near);
		near.on('error', () => undefined);
		far.on('error', () => undefined);
		near.on('close', () => far.destroy());
	});
	await until(() => met.length > 0);
	assert.deepEqual(met, ['entry-2']);
	server.close();
});

test('frames are cut out of the stream however it\'s split', () => {
	const reader = new FrameReader(100);
	const bytes = [...encodeFrame('one'), ...encodeFrame('two')];
	const frames = bytes.flatMap(byte => reader.push(Uint8Array.of(byte)) ?? []);
	assert.equal(frames.length, 2);
	assert.equal(new FrameReader(3).push(encodeFrame('too long')), undefined);
});

// Guards against a connection that goes silent before its handshake is answered and keeps two entries apart for good.
test('a connection whose handshake is not answered is made anew', {timeout: 20_000}, async () => {
	const left = await networkOf('entry-1');
	const right = await networkOf('entry-2');
	const relay = new FaultProxy(false, false);
	after(() => {
		relay.close();
	});
	relay.forwardTo(right.network.self.peerAddress);
	const address = await relay.listen();
	relay.partition(() => true);
	left.network.watch(new Set([address]));
	await wait(300);
	relay.blackholeOpenConnections();
	relay.partition(() => false);
	let met = 0;
	left.network.onDidMeet(() => {
		met += 1;
	});
	await until(() => met > 0);
	assert.equal(met, 1);
});
