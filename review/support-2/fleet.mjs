/**
 * A small deployment for the cases of this review: the store and the workers (the project's stand-ins) and entries (the edge's bundle),
 * each as a process of its own on loopback.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';

export const host = 'desk.example';
export const prefix = '/desk/';
const service = 'flight-desk';

/** The words of the `run` line of the deploy file. */
function runWords() {
	const line = readFileSync('deploy/system.toml', 'utf8').split('\n').find(text => text.startsWith('run = '));
	return JSON.parse(line.slice('run = '.length)).split(' ');
}

/** Returns a port that is free on an address. */
async function freePort(address) {
	const server = createServer();
	server.listen(0, address);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

/** Writes lines to the case's record. */
export class Record {
	#startedAt = Date.now();

	constructor(file) {
		this.file = file;
		writeFileSync(file, '');
	}

	write(what, fields = {}) {
		appendFileSync(this.file, `${JSON.stringify({ms: Date.now() - this.#startedAt, what, ...fields})}\n`);
	}
}

/** One entry, across restarts. */
class Entry {
	child;
	exit;

	constructor(fleet, options) {
		Object.assign(this, {fleet, ...options});
	}

	get front() {
		return {host: this.address, port: this.ports.front};
	}

	start() {
		if (this.fleet.isDisposed) {
			throw new Error('the case is over');
		}

		const {fleet, name, zone, address, ports} = this;
		const file = path.join(fleet.folder, `${name}.conf`);
		const fields = [
			['node', name],
			['role', 'entry'],
			['class', 'edge'],
			['serves', 'edge,control'],
			['ip', address],
			['zone', zone],
			['region', 'region-1'],
			...fleet.zones.map(known => [`zones.${known}`, 'region-1']),
			['listen.front', `${address}:${ports.front}`],
			['listen.ready', `${address}:${ports.ready}`],
			['listen.control', `${address}:${ports.control}`],
			['port_range', '7720,7735'],
			['seeds', fleet.seeds.join(',')],
			['bootstrap', 'true'],
			['limits.cpu_share', 0.675],
			['limits.cores', 1],
			['limits.memory_mb', 350],
			['limits.max_fds', 4100],
			['discovery', 'platform'],
			['entry', 'vip'],
			['heartbeat_ms', 1500],
			['orders', 'rpc'],
			['platform.addr', fleet.storeAddress],
			['platform.form', 'log'],
			['platform.parts', 24],
			['platform.min_ttl_ms', 1000],
			['bounds.contact_ms', 3000],
			['bounds.ack_ms', 4000],
			['bounds.drain_ms', 2000],
			['bounds.grace_s', 6],
			['bounds.loss_slack_ms', 200],
			['bounds.apply_ms', 2000],
			['bounds.hold_max_ms', 1000],
			['bounds.kill_timeout_ms', 50],
			['bounds.cancel_ms', 3000],
			['bounds.far_x', 2],
			['bounds.fencing', 'true'],
			['bounds.resend_ms', 1300],
		];
		writeFileSync(file, fields.map(([field, value]) => `${field}=${value}\n`).join(''));
		const [program, ...words] = runWords();
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', SAVORYLOCK_SETTINGS: file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		fleet.children.add(child);
		for (const output of [child.stdout, child.stderr]) {
			createInterface({input: output}).on('line', line => {
				appendFileSync(path.join(fleet.folder, `${name}.log`), `${line}\n`);
				fleet.onLine?.(this, line);
			});
		}

		this.exit = new Promise(resolve => {
			child.on('exit', (code, signal) => {
				fleet.children.delete(child);
				resolve({code, signal});
			});
		});
	}

	signal(name) {
		this.child.kill(name);
	}

	/** What the platform's check of readiness sees. */
	async isReady() {
		try {
			const response = await fetch(`http://${this.address}:${this.ports.ready}/readyz`, {signal: AbortSignal.timeout(900)});
			await response.arrayBuffer();
			return response.status === 200;
		} catch {
			return false;
		}
	}
}

/** The processes of a case. */
export class Fleet {
	children = new Set();
	/** Nothing is started any more, so that no process is left. */
	isDisposed = false;
	folder = mkdtempSync(path.join(tmpdir(), 'savorylock-review-'));
	entries = [];
	seeds = [];
	#version = 0;
	#createEntry;

	constructor(record) {
		this.record = record;
	}

	async #startStandIn(words) {
		if (this.isDisposed) {
			throw new Error('the case is over');
		}

		const child = spawn(process.execPath, words, {stdio: ['ignore', 'pipe', 'inherit']});
		this.children.add(child);
		child.on('exit', () => this.children.delete(child));
		const [line] = await once(createInterface({input: child.stdout}), 'line');
		return JSON.parse(line).listening;
	}

	/** Starts the store and a host of workers, one worker for each zone named. */
	async startPlatform(zones, workerZones) {
		this.zones = zones;
		const {httpPort} = await this.#startStandIn(['dist/standins/store/main.js', '--port', '0']);
		this.storeAddress = `127.0.0.1:${httpPort}`;
		const workers = await this.#startStandIn(['dist/standins/worker/main.js', '--store', this.storeAddress, '--service', service, '--zones', workerZones.join(',')]);
		this.workersUrl = `http://127.0.0.1:${workers.httpPort}`;
		for (const [index, port] of workers.httpPorts.entries()) {
			await fetch(`${this.workersUrl}/workers/${index}/address`, {method: 'POST', body: `127.0.0.1:${port}`});
		}

		this.workerPorts = workers.httpPorts;
		await this.publish();
	}

	/** Publishes a version of the config as the operator does. */
	async publish(extra = []) {
		this.#version += 3;
		const route = Object.fromEntries([
			['name', 'desk'], ['host', host], ['path_prefix', prefix], ['service', service], ['priority', 1], ['attempts', 3], ['stretch', 1.6], ['target_latency_ms', 60],
		]);
		await this.put('keyed.op', 'config', JSON.stringify({
			version: this.#version,
			routes: [route, ...extra],
			services: [Object.fromEntries([['name', service], ['admission_check', true]])],
			limits: Object.fromEntries([['max_body_bytes', 262_144]]),
		}));
	}

	async put(topic, key, value) {
		const [keyBytes, valueBytes] = [Buffer.from(key), Buffer.from(value)];
		const bytes = Buffer.concat([Buffer.alloc(4), Buffer.from([keyBytes.length]), keyBytes, valueBytes]);
		bytes.writeUInt32BE(bytes.length - 4, 0);
		const response = await fetch(`http://${this.storeAddress}/log-append?topic=${topic}&part=0`, {method: 'POST', body: bytes});
		if (response.status !== 200) {
			throw new Error(`the store answered ${response.status}`);
		}
	}

	/** Starts entries: a list of zones, one entry each. Ports are the same on all of them, as on the machines of a day. */
	async startEntries(zones) {
		const block = 1 + (process.pid % 250);
		const ports = {};
		for (const name of ['front', 'ready', 'control']) {
			ports[name] = await freePort(`127.${block}.7.1`);
		}

		this.#createEntry = (zone, index) => new Entry(this, {
			name: `edge-${zone}-${index + 1}`, zone, address: `127.${block}.7.${index + 1}`, ports,
		});
		this.entries = zones.map((zone, index) => this.#createEntry(zone, index));

		this.seeds = this.entries.slice(0, 3).map(({address}) => `${address}:${ports.control}`);
		for (const entry of this.entries) {
			entry.start();
		}

		await this.untilReady(this.entries);
	}

	/** Starts one more entry, as when a machine is added. */
	addEntry(zone) {
		const entry = this.#createEntry(zone, this.entries.length);
		this.entries.push(entry);
		entry.start();
		return entry;
	}

	async untilReady(entries, milliseconds = 15_000) {
		const until = Date.now() + milliseconds;
		for (const entry of entries) {
			while (!await entry.isReady()) {
				if (Date.now() > until) {
					throw new Error(`${entry.name} is not ready`);
				}

				await sleep(50);
			}
		}
	}

	/** The starts and ends of runs that the workers have seen so far. */
	async events() {
		const response = await fetch(`${this.workersUrl}/truth`);
		return response.json();
	}

	async dispose() {
		this.isDisposed = true;
		const children = [...this.children];
		for (const child of children) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		await Promise.all(children.map(async child => child.exitCode === null && child.signalCode === null ? once(child, 'exit') : undefined));
		if (process.env.KEEP !== '1') {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}
}

/** Runs a case: exits with 1 if it returns a broken rule, 0 if it returns none, and 2 if it couldn't run. */
export async function runCase(file, body) {
	const record = new Record(file);
	const fleet = new Fleet(record);
	const limit = setTimeout(async () => {
		record.write('over the time limit of the script');
		await fleet.dispose();
		process.exit(2);
	}, 115_000);
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, async () => {
			await fleet.dispose();
			process.exit(2);
		});
	}

	let code = 2;
	try {
		const broken = await body(fleet, record);
		code = broken === undefined ? 0 : 1;
		record.write(code === 0 ? 'held' : 'broken', broken ?? {});
		console.log(code === 0 ? 'held' : `broken: ${JSON.stringify(broken)}`);
	} catch (error) {
		record.write('could not run', {error: error.stack});
		console.error(error);
	}

	clearTimeout(limit);
	await fleet.dispose();
	process.exit(code);
}
