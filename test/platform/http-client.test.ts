/** What a call comes to, whatever the other side does with its connection. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {after, test} from 'node:test';
import {HttpClient} from '../../platform/http-client.js';

const limitMilliseconds = 150;
const okay = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** How the other side takes each request, in order; the last one goes on for the rest. */
type Behaviour = (socket: Socket, request: string) => void;

/** Serves bytes as a test says, and counts connections and requests. */
async function sideOf(...behaviours: readonly Behaviour[]) {
	return sideOfIdle(1500, ...behaviours);
}

async function sideOfIdle(idleMilliseconds: number, ...behaviours: readonly Behaviour[]) {
	const seen = {connections: 0, requests: [] as string[]};
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		seen.connections += 1;
		sockets.add(socket);
		socket.on('error', () => {
			// Some tests reset it.
		});
		socket.on('data', bytes => {
			const request = bytes.toString();
			seen.requests.push(request);
			const behaviour = behaviours[Math.min(seen.requests.length, behaviours.length) - 1]!;
			behaviour(socket, request);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const client = new HttpClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, idleMilliseconds, 2);
	const call = async (path = '/a', limit = limitMilliseconds) => {
		const result = await client.call({
			method: 'POST', path, headers: ['content-type', 'text/plain'], body: 'né', limitMilliseconds: limit,
		});
		return result.kind === 'response' ? `${result.status} ${new TextDecoder().decode(result.body)}` : result.kind;
	};

	return {seen, call, client};
}

function answers(text: string): Behaviour {
	return socket => {
		socket.write(text);
	};
}

test('a request is written whole, and its connection carries the next one', async () => {
	const {seen, call} = await sideOf(answers(okay));
	assert.deepEqual([await call('/a'), await call('/b')], ['200 ok', '200 ok']);
	assert.equal(seen.connections, 1);
	assert.match(seen.requests[0]!, /^POST \/a HTTP\/1\.1\r\nhost: 127\.0\.0\.1:\d+\r\ncontent-type: text\/plain\r\ncontent-length: 3\r\n\r\nné$/v);
});

test('calls at the same time use connections of their own, up to the limit; the others wait', async () => {
	const {seen, call} = await sideOf(answers(okay));
	assert.deepEqual(await Promise.all([call(), call(), call(), call()]), ['200 ok', '200 ok', '200 ok', '200 ok']);
	assert.equal(seen.connections, 2);
});

test('an answer in pieces, one in chunks, one behind an interim one and one without a length are read whole', async () => {
	const pieces: Behaviour = socket => {
		for (const [index, piece] of ['HTTP/1.1 20', '0 OK\r\ncontent-le', 'ngth: 4\r\n\r\nab', 'cd'].entries()) {
			setTimeout(() => socket.write(piece), index * 5);
		}
	};

	const {call} = await sideOf(
		pieces,
		answers('HTTP/1.1 409 Conflict\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'),
		answers(`HTTP/1.1 100 Continue\r\n\r\n${okay}`),
		socket => {
			socket.end('HTTP/1.1 200 OK\r\n\r\nto the end');
		},
		answers('HTTP/1.1 204 No Content\r\n\r\n'),
	);
	assert.deepEqual([await call(), await call(), await call(), await call(), await call()], ['200 abcd', '409 abcde', '200 ok', '200 to the end', '204 ']);
});

// A target answers an order, and a broken proxy or a defect of its own sends bytes behind the answer. Read as the beginning
// of the next answer they would say of the next order what nobody answered to it.
test('bytes behind an answer are never taken for the next one', async () => {
	const forged = 'HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n';
	for (const trailing of ['garbage', forged, `${okay}`, 'HTTP/1.1 500 No\r\nx: ']) {
		const {call} = await sideOf(answers(okay + trailing), answers('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue'));
		const results = [await call(), await call()];
		assert.deepEqual(results, ['200 ok', '200 true'], JSON.stringify(trailing));
	}
});

test('a connection that the other side ends, or that brings bytes unasked, isn\'t used again', async () => {
	const {seen, call} = await sideOf(
		answers('HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok'),
		socket => {
			socket.write(okay);
			setTimeout(() => socket.write('late'), 5);
		},
		socket => {
			socket.end(okay);
		},
		answers(okay),
	);
	for (let turn = 0; turn < 4; turn += 1) {
		assert.equal(await call(), '200 ok');
		await new Promise(resolve => {
			setTimeout(resolve, 30);
		});
	}

	assert.equal(seen.connections, 4);
});

// The target took the order and its connection broke before the answer was whole: the order may have been carried out, and
// whoever takes it for unsent begins the task twice.
test('a request that was written and has no whole answer is unanswered, never unreachable', async () => {
	const {call} = await sideOf(
		socket => {
			socket.resetAndDestroy();
		},
		socket => {
			socket.end();
		},
		socket => {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf');
		},
		answers('no HTTP at all\r\n\r\n'),
		() => {
			// Silence.
		},
		answers(okay),
	);
	for (let turn = 0; turn < 5; turn += 1) {
		assert.equal(await call(), 'unanswered', `turn ${turn}`);
	}

	assert.equal(await call(), '200 ok');
});

test('a request that found no listener, or no free connection in time, is unreachable', async () => {
	const closed = createServer();
	closed.listen(0, '127.0.0.1');
	await once(closed, 'listening');
	const {port} = closed.address() as AddressInfo;
	closed.close();
	await once(closed, 'close');
	const refused = await new HttpClient(`127.0.0.1:${port}`, 1500, 2).call({method: 'GET', path: '/', limitMilliseconds});
	assert.equal(refused.kind, 'unreachable');

	const {seen, call} = await sideOf(() => {
		// Silence.
	});
	const slow = [call('/slow', 400), call('/slow', 400)];
	assert.equal(await call('/third', 30), 'unreachable');
	assert.deepEqual(await Promise.all(slow), ['unanswered', 'unanswered']);
	assert.equal(seen.requests.some(request => request.includes('/third')), false);
});

// The machine stood still while the answer came. When it goes on, the timer of the time limit is served before the sockets: an
// order that was answered in time would be stopped.
test('an answer that came while the process stood still counts', async () => {
	const {call} = await sideOf(socket => {
		socket.write(okay);
		const until = performance.now() + (2 * limitMilliseconds);
		while (performance.now() < until) {
			// Stands still.
		}
	});
	assert.equal(await call(), '200 ok');
});

// Two connections have been idle for so long that the other side may close them, and two calls come at once. The first call closes
// both on its way to a new one.
test('connections that were idle for too long are replaced, and every call gets its answer', async () => {
	const {seen, call} = await sideOfIdle(10, answers(okay));
	await Promise.all([call(), call()]);
	await new Promise(resolve => {
		setTimeout(resolve, 30);
	});
	assert.deepEqual(await Promise.all([call(), call(), call()]), ['200 ok', '200 ok', '200 ok']);
	assert.equal(seen.connections, 4);
});

test('an answer over the limit ends the call', async () => {
	const {call} = await sideOf(answers(`HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\n${'x'.repeat(4_300_000)}`));
	assert.equal(await call('/', 2000), 'unanswered');
});

test('after its end a client leaves no call without a result', async () => {
	const {call, client} = await sideOf(() => {
		// Silence.
	});
	const calls = [call('/', 5000), call('/', 5000), call('/', 5000)];
	await new Promise(resolve => {
		setTimeout(resolve, 30);
	});
	client.dispose();
	assert.deepEqual(await Promise.all(calls), ['unanswered', 'unanswered', 'unreachable']);
});
