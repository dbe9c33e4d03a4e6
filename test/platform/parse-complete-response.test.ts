/** The fast path for HTTP responses must agree with the full parser on every response that it accepts. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {HTTPParser} from 'http-parser-js';
import {parseCompleteResponse} from '../../platform/parse-complete-response.js';

/** Parses a Latin-1 piece in full; undefined unless it is exactly one response on a persistent connection. */
function parseInFull(text: string): {readonly status: number; readonly body: string} | undefined {
	const piece = Buffer.from(text, 'latin1');
	const parser = new HTTPParser(HTTPParser.RESPONSE);
	const seen = {
		status: 0, isKeepAlive: false, body: '', responses: 0,
	};
	parser[HTTPParser.kOnHeadersComplete] = ({statusCode, shouldKeepAlive}) => {
		seen.status = statusCode;
		seen.isKeepAlive = shouldKeepAlive;
	};

	parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
		seen.body += chunk.toString('latin1', offset, offset + length);
	};

	parser[HTTPParser.kOnMessageComplete] = () => {
		seen.responses += 1;
	};

	const result = parser.execute(piece);
	return result === piece.length && seen.responses === 1 && seen.isKeepAlive ? {status: seen.status, body: seen.body} : undefined;
}

test('a response in one piece is accepted, whatever fields it has besides', () => {
	for (const fields of ['content-length: 2', 'Content-Length: 2\r\nConnection: Keep-Alive', 'date: x\r\ncontent-length:2 \r\nkeep-alive: timeout=5']) {
		assert.deepEqual(parseCompleteResponse(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\nok`), {status: 200, bodyBytes: 2}, fields);
	}
});

// Accepting one of these would report a wrong body, or reuse a connection that the server closes.
test('a response that may be incomplete, interim or followed by anything is left to the full parser', () => {
	const others = [
		'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok',
		'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nok',
		'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n',
		'HTTP/1.1 200 OK\r\n\r\nok',
		'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nok',
		'HTTP/1.1 200 OK\r\ncontent-length: 2, 2\r\n\r\nok',
		'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\nok',
		'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok',
		'HTTP/1.1 100 Continue\r\ncontent-length: 0\r\n\r\n',
		'HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n',
		'HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok',
		'XHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok',
	];
	for (const text of others) {
		assert.equal(parseCompleteResponse(text), undefined, text);
	}
});

test('an accepted response has the status and body that the full parser finds', () => {
	const field = fc.constantFrom(
		'content-length: 0',
		'content-length: 2',
		'Content-Length:  4 ',
		'content-length: -2',
		'content-length: 2x',
		'connection: close',
		'connection: keep-alive',
		'connection: keep-alive, upgrade',
		'transfer-encoding: chunked',
		'upgrade: x',
		'x-content-length: 2',
		'date: today',
	);
	const start = fc.constantFrom('HTTP/1.1 200 OK', 'HTTP/1.1 409', 'HTTP/1.1 304 x', 'HTTP/1.1 101 x', 'HTTP/1.1 503 Service Unavailable', 'HTTP/1.0 200 OK', 'HTTP/1.1 20 x');
	const body = fc.constantFrom('', 'ok', 'né', '\r\n\r\n', '2\r\nok\r\n0\r\n\r\n', 'HTTP/1.1 200 OK\r\n\r\n');
	fc.assert(fc.property(start, fc.array(field, {maxLength: 4}), body, (line, fields, text) => {
		const latin1 = Buffer.from(`${[line, ...fields].join('\r\n')}\r\n\r\n${text}`).toString('latin1');
		const accepted = parseCompleteResponse(latin1);
		if (accepted !== undefined) {
			assert.deepEqual({status: accepted.status, body: latin1.slice(latin1.length - accepted.bodyBytes)}, parseInFull(latin1), latin1);
		}
	}), {numRuns: 2000});
});
