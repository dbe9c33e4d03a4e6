/** A client's channel, and the platform's choice of the daemon that it is forwarded to. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** One HTTP/1.1 channel, for one request at a time. Records when it was opened, written to and closed. */
export class Channel {
	isOpen = false;
	#text = '';
	#onChange = () => undefined;

	constructor({host, port}) {
		this.socket = connect({host, port, noDelay: true});
		this.opened = new Promise(resolve => {
			this.socket.on('connect', () => {
				this.isOpen = true;
				resolve(true);
			});
			this.socket.on('close', () => {
				this.isOpen = false;
				this.closedAt = Date.now();
				resolve(false);
				this.#onChange();
			});
		});
		this.socket.on('data', data => {
			this.#text += data.toString('latin1');
			this.#onChange();
		});
		this.socket.on('error', error => {
			this.error = error.code;
		});
	}

	/** Sends a request whole; returns the status and the body, or undefined if the channel ends without a complete answer. */
	async request(method, path, headers, body = '') {
		this.#text = '';
		const head = Object.entries({...headers, 'content-length': Buffer.byteLength(body)}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		this.writtenAt = await new Promise(resolve => {
			this.socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`, error => {
				resolve(error ? undefined : Date.now());
			});
		});
		return new Promise(resolve => {
			this.#onChange = () => {
				const answer = this.#parse();
				if (answer !== undefined || this.closedAt !== undefined) {
					resolve(answer);
				}
			};

			this.#onChange();
		});
	}

	close() {
		this.socket.destroy();
	}

	#parse() {
		const end = this.#text.indexOf('\r\n\r\n');
		if (end === -1) {
			return undefined;
		}

		const head = this.#text.slice(0, end).toLowerCase();
		const length = Number(/content-length: (?<length>\d+)/v.exec(head)?.groups.length ?? 0);
		const body = this.#text.slice(end + 4);
		return body.length < length ? undefined : {status: Number(head.split(' ')[1]), body, isLast: head.includes('connection: close')};
	}
}

/**
 * The platform's ingress for the clients of one zone: checks readiness once a second, takes a daemon out of rotation after two misses and
 * back after one success, as a new one is taken in, and chooses by a hash of the client. With fewer than half in rotation it uses all daemons of the zone.
 */
export class Ingress {
	#misses = new Map();
	#isEnded = false;

	constructor(entries) {
		this.entries = entries;
		this.checks = this.#check();
	}

	choose(client) {
		const ready = this.entries.filter(entry => (this.#misses.get(entry) ?? 2) < 2);
		const used = 2 * ready.length < this.entries.length ? this.entries : ready;
		return used[client % used.length];
	}

	async end() {
		this.#isEnded = true;
		await this.checks;
	}

	async #check() {
		while (!this.#isEnded) {
			const at = Date.now();
			await Promise.all(this.entries.map(async entry => {
				const isReady = await entry.isReady();
				this.#misses.set(entry, isReady ? 0 : (this.#misses.get(entry) ?? 2) + 1);
			}));
			await sleep(Math.max(0, at + 1000 - Date.now()));
		}
	}
}

/** The body of a best-effort job of one step. */
export function jobBody(spec, step = []) {
	const fields = [['count', 1], ['cpu', 27_000], ['mem_mb', 64], ['est_runtime_ms', Number(spec)], ...step];
	return JSON.stringify(Object.fromEntries([['spec', spec], ['best_effort', true], ['steps', [Object.fromEntries(fields)]]]));
}
