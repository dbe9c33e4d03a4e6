/** Starts the edge daemon and the stand-ins of its platform as processes on loopback, and ends them. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ConfigurationPublisher} from '../../dist/standins/configuration-publisher.js';
import {FaultProxy} from '../../dist/standins/fault-proxy.js';
import {call} from './call.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));
const ports = {
	front: 8161, ready: 8167, control: 8166, metrics: 9464,
};
const host = 'review.example';
const service = 'service';
const startLimitMilliseconds = 15_000;
const readyPollMilliseconds = 50;

/** The command of `deploy/system.toml`. */
const command = ['--max-old-space-size=96', '--max-semi-space-size=2', 'target/savorylock-edge.js', String(ports.metrics), '--scheduling', 'deploy/scheduling.toml'];

/** The case couldn't run: the script ends with 2. */
export class CannotRunError extends Error {}

/** A fleet of entries with a store and workers. */
export class Fleet {
	/**
	 * `zones`: the number of entries in each zone, by zone. `workers`: a zone for each worker. `routes`: path prefixes. `relayed`: the
	 * entries that peers connect to through a proxy, by the program's own option for relays.
	 */
	static async open({zones, workers, routes, record, relayed = []}) {
		const fleet = new Fleet(record);
		try {
			await fleet.#start({
				zones, workers, routes, relayed,
			});
		} catch (error) {
			await fleet.close();
			throw error instanceof CannotRunError ? error : new CannotRunError(error.stack ?? String(error));
		}

		return fleet;
	}

	entries = [];
	host = host;
	#children = new Set();
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));

	constructor(record) {
		this.record = record;
		// Also ends what was started by a fleet that isn't open yet when the script is terminated.
		process.once('exit', () => {
			for (const child of this.#children) {
				child.kill('SIGKILL');
			}

			rmSync(this.#folder, {recursive: true, force: true});
		});
	}

	/** Runs of all workers so far: starts and ends, with the time of day. */
	async runs() {
		const answer = await call({
			address: this.hostAddress, method: 'GET', path: '/truth', timeout: 5000,
		});
		return JSON.parse(answer.body);
	}

	/** Sets the fault of a worker's stand-in. */
	async setWorkerFault(index, fault) {
		await call({
			address: this.workerAddresses[index], method: 'POST', path: '/faults', body: JSON.stringify(fault), timeout: 5000,
		});
	}

	/** Sets the fault of the store's stand-in. */
	async setStoreFault(fault) {
		await call({
			address: this.storeAddress, method: 'POST', path: '/faults', body: JSON.stringify(fault), timeout: 5000,
		});
	}

	/** Ends all processes and removes the temporary folder. */
	async close() {
		await Promise.all([...this.#children].map(async child => {
			if (child.exitCode === null && child.signalCode === null) {
				const exited = once(child, 'exit');
				child.kill('SIGKILL');
				await exited;
			}
		}));
		for (const {relay} of this.entries) {
			relay?.close();
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}

	/** Starts an entry, or starts it again after its end. */
	startEntry(entry) {
		const child = spawn(process.execPath, [...command, ...entry.options], {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, SAVORYLOCK_SETTINGS: entry.settings},
		});
		this.#children.add(child);
		entry.process = child;
		for (const output of [child.stdout, child.stderr]) {
			createInterface({input: output}).on('line', line => {
				entry.log.push(line);
			});
		}
	}

	/** Waits until an entry is ready and knows all its peers and some targets. */
	async waitUntilReady(entry, peers) {
		const limit = Date.now() + startLimitMilliseconds;
		while (Date.now() < limit) {
			const answer = await call({
				address: entry.ready, method: 'GET', path: '/readyz', timeout: 500,
			});
			const met = new Set(entry.log.filter(line => line.includes('"poolMemberMet"')).map(line => /"member":"(?<id>[^"]+)"/v.exec(line)?.groups.id));
			if (answer.status === 200 && met.size >= peers) {
				return;
			}

			await wait(readyPollMilliseconds);
		}

		throw new CannotRunError(`${entry.name} isn't ready: ${entry.log.slice(-5).join('\n')}`);
	}

	async #start({zones, workers, routes, relayed}) {
		const store = await this.#startStandIn('dist/standins/store/main.js', ['--port', '0']);
		this.storeAddress = `127.0.0.1:${store.httpPort}`;
		const host = await this.#startStandIn('dist/standins/worker/main.js', ['--store', this.storeAddress, '--service', service, '--zones', workers.join(',')]);
		this.hostAddress = `127.0.0.1:${host.httpPort}`;
		this.workerAddresses = host.httpPorts.map(port => `127.0.0.1:${port}`);
		for (const [index, address] of this.workerAddresses.entries()) {
			await call({
				address: this.hostAddress, method: 'POST', path: `/workers/${index}/address`, body: address, timeout: 5000,
			});
		}

		this.operator = new ConfigurationPublisher(this.storeAddress, service, this.host);
		await this.operator.publish(routes);
		await this.#addEntries(zones, new Set(relayed));
		for (const entry of this.entries) {
			this.startEntry(entry);
		}

		await Promise.all(this.entries.map(async entry => this.waitUntilReady(entry, this.entries.length - 1)));
	}

	async #addEntries(zones, relayed) {
		const network = await freeNetwork();
		for (const [zoneIndex, [zone, count]] of Object.entries(zones).entries()) {
			for (let index = 1; index <= count; index += 1) {
				const ip = `${network}.${zoneIndex + 1}.${index}`;
				this.entries.push({
					name: `${zone}-entry-${index}`,
					zone,
					ip,
					front: `${ip}:${ports.front}`,
					ready: `${ip}:${ports.ready}`,
					control: `${ip}:${ports.control}`,
					settings: path.join(this.#folder, `${zone}-${index}.conf`),
					log: [],
					process: undefined,
					relay: relayed.has(`${zone}-entry-${index}`) ? new FaultProxy(false, false) : undefined,
					options: [],
				});
			}
		}

		const seeds = [];
		for (const entry of this.entries) {
			entry.relay?.forwardTo(entry.control);
			const peers = await entry.relay?.listen() ?? entry.control;
			entry.options = entry.relay === undefined ? [] : ['--advertised-peers', peers];
			seeds.push(peers);
		}

		for (const entry of this.entries) {
			writeFileSync(entry.settings, settingsOf(entry, Object.keys(zones), seeds.slice(0, 3), this.storeAddress));
		}
	}

	async #startStandIn(file, parameters) {
		const child = spawn(process.execPath, [file, ...parameters], {cwd: root, stdio: ['ignore', 'pipe', 'inherit']});
		this.#children.add(child);
		const lines = createInterface({input: child.stdout});
		const [line] = await Promise.race([once(lines, 'line'), once(child, 'exit')]);
		if (typeof line !== 'string') {
			throw new CannotRunError(`${file} did not start`);
		}

		return JSON.parse(line).listening;
	}
}

/** Settings like those of a small deployment (`DEPLOY.md`, and the bounds of its sheet). */
function settingsOf({name, zone, ip, front, ready, control}, zones, seeds, storeAddress) {
	return `node=${name}
role=entry
class=edge
serves=edge,control
ip=${ip}
zone=${zone}
region=region-1
${zones.map(other => `zones.${other}=region-1`).join('\n')}
listen.front=${front}
listen.ready=${ready}
listen.control=${control}
port_range=7720,7735
seeds=${seeds.join(',')}
bootstrap=true
limits.memory_mb=350
limits.max_fds=4100
discovery=platform
entry=vip
heartbeat_ms=1500
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.apply_ms=2000
bounds.hold_max_ms=1000
bounds.kill_timeout_ms=50
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.far_x=2
bounds.fencing=true
bounds.lease_ms=3000
bounds.resend_ms=1300
orders=rpc
platform.addr=${storeAddress}
platform.form=log
platform.parts=24
platform.min_ttl_ms=1000
`;
}

/** Finds a loopback network `127.a` whose first addresses have the needed ports free. */
async function freeNetwork() {
	for (let attempt = 0; attempt < 50; attempt += 1) {
		const network = `127.${20 + Math.floor(Math.random() * 200)}`;
		const free = await Promise.all(Object.values(ports).map(async port => isFree(`${network}.1.1`, port)));
		if (free.every(Boolean)) {
			return network;
		}
	}

	throw new CannotRunError('no free loopback network');
}

async function isFree(address, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, address, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
