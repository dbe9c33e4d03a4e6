/** HTTP calls of a client, each on a connection of its own. */
import {request} from 'node:http';

/**
 * Resolves with `status` and `body`, or with `failure`. `deadline` is stated as `Deadline-Ms`. `signal` aborts the call by closing
 * its connection.
 */
export async function call({address, method, path, host, body = '', deadline, timeout = 10_000, signal}) {
	return new Promise(resolve => {
		const [ip, port] = address.split(':');
		const outgoing = request({
			host: ip,
			port,
			method,
			path,
			agent: false,
			signal,
			headers: {
				...(host !== undefined && {host}),
				'content-type': 'application/json',
				'content-length': new TextEncoder().encode(body).length,
				...(deadline !== undefined && {'deadline-ms': deadline}),
			},
		});
		const timer = setTimeout(() => {
			resolve({failure: 'no response'});
			outgoing.destroy();
		}, timeout);
		const fail = error => {
			clearTimeout(timer);
			resolve({failure: error.message});
		};

		outgoing.on('error', fail);
		outgoing.on('response', response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', chunk => {
				text += chunk;
			});
			response.on('error', fail);
			response.on('end', () => {
				clearTimeout(timer);
				resolve({status: response.statusCode, body: text});
			});
		});
		outgoing.end(body);
	});
}
