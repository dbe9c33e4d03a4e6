/** Results of HTTP calls to servers that misbehave. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {after, test} from 'node:test';
import {HttpClient} from '../../platform/http-client.js';

/** For calls that time out. */
const limitMilliseconds = 150;
/** For calls that get a response. The server is in the same process, so that a busy machine delays both. */
const generousLimitMilliseconds = 10_000;
const okay = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** Handles one request; the last of several behaviours handles all further requests. */
type Behaviour = (socket: Socket, request: string) => void;

/** Starts a server with the given behaviours and counts its connections and requests. */
async function serve(...behaviours: readonly Behaviour[]) {
	return serveWithIdleTimeout(1500, ...behaviours);
}

async function serveWithIdleTimeout(idleMilliseconds: number, ...behaviours: readonly Behaviour[]) {
	const seen = {connections: 0, requests: [] as string[]};
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		seen.connections += 1;
		sockets.add(socket);
		socket.on('error', () => {
			// Some tests reset the connection.
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
	const call = async (path = '/a', limit = generousLimitMilliseconds) => {
		const result = await client.call({
			method: 'POST', path, headers: ['content-type', 'text/plain'], body: 'né', limitMilliseconds: limit,
		});
		return result.kind === 'response' ? `${result.status} ${new TextDecoder().decode(result.body)}` : result.kind;
	};

	return {seen, call, client};
}

function responds(text: string): Behaviour {
	return socket => {
		socket.write(text);
	};
}

test('a request is sent completely, and its connection is reused', async () => {
	const {seen, call} = await serve(responds(okay));
	assert.deepEqual([await call('/a'), await call('/b')], ['200 ok', '200 ok']);
	assert.equal(seen.connections, 1);
	assert.match(seen.requests[0]!, /^POST \/a HTTP\/1\.1\r\nhost: 127\.0\.0\.1:\d+\r\ncontent-type: text\/plain\r\ncontent-length: 3\r\n\r\nné$/v);
});

test('concurrent calls use separate connections up to the limit, further calls are queued', async () => {
	const {seen, call} = await serve(responds(okay));
	assert.deepEqual(await Promise.all([call(), call(), call(), call()]), ['200 ok', '200 ok', '200 ok', '200 ok']);
	assert.equal(seen.connections, 2);
});

test('fragmented and chunked responses, interim responses and responses without a length are read completely', async () => {
	const pieces: Behaviour = socket => {
		for (const [index, piece] of ['HTTP/1.1 20', '0 OK\r\ncontent-le', 'ngth: 4\r\n\r\nab', 'cd'].entries()) {
			setTimeout(() => socket.write(piece), index * 5);
		}
	};

	const {call} = await serve(
		pieces,
		responds('HTTP/1.1 409 Conflict\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'),
		responds(`HTTP/1.1 100 Continue\r\n\r\n${okay}`),
		socket => {
			socket.end('HTTP/1.1 200 OK\r\n\r\nto the end');
		},
		responds('HTTP/1.1 204 No Content\r\n\r\n'),
	);
	assert.deepEqual([await call(), await call(), await call(), await call(), await call()], ['200 abcd', '409 abcde', '200 ok', '200 to the end', '204 ']);
});

// Trailing bytes parsed as the next response would report a wrong result for the next order.
test('trailing bytes of a response are not parsed as the next response', async () => {
	const forged = 'HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n';
	for (const trailing of ['garbage', forged, `${okay}`, 'HTTP/1.1 500 No\r\nx: ']) {
		const {call} = await serve(responds(okay + trailing), responds('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntrue'));
		const results = [await call(), await call()];
		assert.deepEqual(results, ['200 ok', '200 true'], JSON.stringify(trailing));
	}
});

test('a connection is not reused after the server closes it or sends unexpected data', async () => {
	const {seen, call} = await serve(
		responds('HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok'),
		socket => {
			socket.write(okay);
			setTimeout(() => socket.write('late'), 5);
		},
		socket => {
			socket.end(okay);
		},
		responds(okay),
	);
	for (let turn = 0; turn < 4; turn += 1) {
		assert.equal(await call(), '200 ok');
		await new Promise(resolve => {
			setTimeout(resolve, 30);
		});
	}

	assert.equal(seen.connections, 4);
});

// The target may have executed the order; reporting it as not sent would start the task twice.
test('a request that was sent but has no complete response is unanswered, not unreachable', async () => {
	const {call} = await serve(
		socket => {
			socket.resetAndDestroy();
		},
		socket => {
			socket.end();
		},
		socket => {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf');
		},
		responds('no HTTP at all\r\n\r\n'),
		() => {
			// Never responds.
		},
		responds(okay),
	);
	for (let turn = 0; turn < 5; turn += 1) {
		assert.equal(await call('/a', limitMilliseconds), 'unanswered', `turn ${turn}`);
	}

	assert.equal(await call(), '200 ok');
});

test('a request that is refused or gets no free connection in time is unreachable', async () => {
	const closed = createServer();
	closed.listen(0, '127.0.0.1');
	await once(closed, 'listening');
	const {port} = closed.address() as AddressInfo;
	closed.close();
	await once(closed, 'close');
	const refused = await new HttpClient(`127.0.0.1:${port}`, 1500, 2).call({method: 'GET', path: '/', limitMilliseconds});
	assert.equal(refused.kind, 'unreachable');

	const {seen, call} = await serve(() => {
		// Never responds.
	});
	const slow = [call('/slow', 400), call('/slow', 400)];
	assert.equal(await call('/third', 30), 'unreachable');
	assert.deepEqual(await Promise.all(slow), ['unanswered', 'unanswered']);
	assert.equal(seen.requests.some(request => request.includes('/third')), false);
});

// After a pause of the process the timeout fires before the sockets are read.
test('a response that arrives during a pause of the process is accepted', async () => {
	const {call} = await serve(socket => {
		socket.write(okay);
		const until = performance.now() + (2 * limitMilliseconds);
		while (performance.now() < until) {
			// Blocks the process.
		}
	});
	assert.equal(await call('/a', limitMilliseconds), '200 ok');
});

// Closing expired connections must not disturb the calls that are waiting for a connection.
test('expired idle connections are replaced, and every call gets its response', async () => {
	const {seen, call} = await serveWithIdleTimeout(10, responds(okay));
	await Promise.all([call(), call()]);
	await new Promise(resolve => {
		setTimeout(resolve, 30);
	});
	assert.deepEqual(await Promise.all([call(), call(), call()]), ['200 ok', '200 ok', '200 ok']);
	assert.equal(seen.connections, 4);
});

test('a response over the size limit is unanswered', async () => {
	const {call} = await serve(responds(`HTTP/1.1 200 OK\r\ncontent-length: 9000000\r\n\r\n${'x'.repeat(4_300_000)}`));
	assert.equal(await call('/', 2000), 'unanswered');
});

test('disposing a client settles all pending calls', async () => {
	const {call, client} = await serve(() => {
		// Never responds.
	});
	const calls = [call('/', 5000), call('/', 5000), call('/', 5000)];
	await new Promise(resolve => {
		setTimeout(resolve, 30);
	});
	client.dispose();
	assert.deepEqual(await Promise.all(calls), ['unanswered', 'unanswered', 'unreachable']);
});
