/** Runs a complete installation on loopback, one process per component. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import {FaultProxy} from '../standins/fault-proxy.js';
import type {FleetEntry} from './fleet-entry.js';
import type {FleetPlan} from './fleet-plan.js';
import {Program} from './program.js';

const readyLimitMilliseconds = 20_000;
const readyPeriodMilliseconds = 50;
const rackSize = 6;

/** Relays between the entries of one zone and the log and instance list. */
type PlatformRelays = {readonly log: FaultProxy; readonly list: FaultProxy; readonly logUrl: string; readonly listUrl: string};

/** Starts and stops the stand-in services and the entries. */
export class Fleet {
	/**
	 * Starts every process and waits until all entries are ready.
	 * @throws {Error} If the entries are not ready within 20 s.
	 */
	static async start(plan: FleetPlan): Promise<Fleet> {
		const log = await Program.start('standins/log/main.js', []);
		const instances = await Program.start('standins/instances/main.js', []);
		const instancesUrl = `http://127.0.0.1:${instances.ports.httpPort}`;
		const balancer = await Program.start('standins/balancer/main.js', ['--instances', instancesUrl]);
		const fleet = new Fleet(plan, `http://127.0.0.1:${log.ports.httpPort}`, instancesUrl, `http://127.0.0.1:${balancer.ports.httpPort}`);
		fleet.#programs.push(log, instances, balancer);
		await fleet.#startTargets();
		await Promise.all(fleet.zones.map(async zone => fleet.#openPlatformRelays(zone)));
		await Promise.all(fleet.zones.flatMap(zone => Array.from({length: plan.entriesPerZone}, async () => fleet.startEntry(zone))));
		await fleet.waitUntilReady();
		return fleet;
	}

	readonly entries: FleetEntry[] = [];
	/** Addresses of the targets, keyed by zone. */
	readonly targets = new Map<string, readonly string[]>();
	readonly #folder = mkdtempSync(join(tmpdir(), 'savorylock-'));
	readonly #programs: Program[] = [];
	readonly #platformRelays = new Map<string, PlatformRelays>();
	#started = 0;

	private constructor(
		readonly plan: FleetPlan,
		readonly logUrl: string,
		readonly instancesUrl: string,
		readonly balancerUrl: string,
	) {}

	get zones(): readonly string[] {
		return Array.from({length: this.plan.zones}, (_, index) => `zone-${index + 1}`);
	}

	/** Starts an additional entry and registers it with the instance list. */
	async startEntry(zone: string): Promise<FleetEntry> {
		this.#started += 1;
		const instance = `entry-${this.#started}`;
		const relay = new FaultProxy(true);
		const peerAddress = await relay.listen();
		const file = join(this.#folder, `${instance}.toml`);
		writeFileSync(file, this.#settingsOf(instance, zone, peerAddress));
		const program = await Program.start('src/entries/daemon/main.js', ['--settings', file], Object.fromEntries([['DEBUG', this.plan.debug]]));
		relay.forwardTo(`127.0.0.1:${program.ports.peerPort}`);
		const entry: FleetEntry = {
			instance, zone, program, address: `127.0.0.1:${program.ports.httpPort}`, peerAddress, relay,
		};
		this.entries.push(entry);
		await this.register(entry, 'live');
		return entry;
	}

	/** Adds an entry to the instance list, or updates its state there. */
	async register(entry: FleetEntry, state: 'live' | 'leaving'): Promise<void> {
		await putJson(`${this.instancesUrl}/instances/${entry.instance}`, {
			id: entry.instance, kind: 'entry', zone: entry.zone, address: entry.address, peerAddress: entry.peerAddress, state,
		});
	}

	/** Removes an entry or target from the instance list. */
	async deregister(id: string): Promise<void> {
		const response = await request(`${this.instancesUrl}/instances/${id}`, {method: 'DELETE'});
		await response.body.dump();
	}

	/** Terminates an entry and returns its exit code. Leaves the instance list unchanged. */
	async stopEntry(entry: FleetEntry, signal: 'SIGTERM' | 'SIGKILL'): Promise<number | undefined> {
		const code = await entry.program.terminate(signal);
		entry.relay.close();
		this.entries.splice(this.entries.indexOf(entry), 1);
		return code;
	}

	/** Partitions the given zones from all others and from the platform. An empty set removes the partition. */
	partitionZones(isolated: ReadonlySet<string>): void {
		for (const entry of this.entries) {
			entry.relay.partition(source => source !== entry.zone && (isolated.has(source) || isolated.has(entry.zone)));
		}

		for (const [zone, relays] of this.#platformRelays) {
			relays.log.partition(() => isolated.has(zone));
			relays.list.partition(() => isolated.has(zone));
		}
	}

	/**
	 * Waits until every entry is ready and the balancer routes to all of them.
	 * @throws {Error} After 20 s, with the last log lines of each entry.
	 */
	async waitUntilReady(): Promise<void> {
		const limit = Date.now() + readyLimitMilliseconds;
		while (Date.now() < limit) {
			const ready = await Promise.all(this.entries.map(async entry => isReady(entry.address)));
			const response = await request(`${this.balancerUrl}/balancer`);
			const balancer = await response.body.json() as {readonly ready: readonly string[]};
			if (ready.every(Boolean) && balancer.ready.length >= this.entries.length) {
				return;
			}

			await pause(readyPeriodMilliseconds);
		}

		const logs = this.entries.map(entry => `${entry.instance}:\n${entry.program.log.slice(-10).join('\n')}`);
		throw new Error(`the fleet was not ready within ${readyLimitMilliseconds} ms:\n${logs.join('\n')}`);
	}

	/** Terminates all remaining processes and deletes the settings files. */
	async stop(): Promise<void> {
		await Promise.all(this.entries.map(async entry => {
			entry.program.resume();
			await entry.program.terminate('SIGKILL');
			entry.relay.close();
		}));
		await Promise.all(this.#programs.map(async program => program.terminate('SIGTERM')));
		for (const relays of this.#platformRelays.values()) {
			relays.log.close();
			relays.list.close();
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #startTargets(): Promise<void> {
		const {zones, targetsPerZone, slots, firstTargetLabels} = this.plan;
		const program = await Program.start('standins/target/main.js', ['--count', String(zones * targetsPerZone), '--slots', String(slots)]);
		this.#programs.push(program);
		const ports = program.ports.httpPorts ?? [];
		for (const [zoneIndex, zone] of this.zones.entries()) {
			const addresses = ports.slice(zoneIndex * targetsPerZone, (zoneIndex + 1) * targetsPerZone).map(port => `127.0.0.1:${port}`);
			this.targets.set(zone, addresses);
			for (const [index, address] of addresses.entries()) {
				const id = `${zone}-target-${index + 1}`;
				const labels = index === 0 ? firstTargetLabels : [];
				await putJson(`${this.instancesUrl}/instances/${id}`, {
					id, kind: 'target', zone, address, state: 'live', slots, rack: `${zone}-rack-${Math.floor(index / rackSize) + 1}`, memoryMegabytes: 262_144, accelerators: 1, labels,
				});
			}
		}
	}

	async #openPlatformRelays(zone: string): Promise<void> {
		const log = new FaultProxy(false);
		const list = new FaultProxy(false);
		log.forwardTo(this.logUrl.replace('http://', ''));
		list.forwardTo(this.instancesUrl.replace('http://', ''));
		this.#platformRelays.set(zone, {
			log, list, logUrl: `http://${await log.listen()}`, listUrl: `http://${await list.listen()}`,
		});
	}

	#settingsOf(instance: string, zone: string, peerAddress: string): string {
		const platform = this.#platformRelays.get(zone)!;
		const tables: Record<string, string> = {
			entry: `instance = "${instance}"\nzone = "${zone}"\nzones = ${JSON.stringify(this.zones)}\naddress = "127.0.0.1"\nadvertisedPeerAddress = "${peerAddress}"`,
			platform: `logUrl = "${platform.logUrl}"\ninstanceListUrl = "${platform.listUrl}"`,
			peers: 'key = "a shared key for one machine only"',
		};
		for (const [table, lines] of Object.entries(this.plan.settings)) {
			tables[table] = `${tables[table] ?? ''}\n${lines}`;
		}

		return Object.entries(tables).map(([table, lines]) => `[${table}]\n${lines}\n`).join('\n');
	}
}

async function putJson(url: string, body: unknown): Promise<void> {
	const response = await request(url, {method: 'PUT', headers: {'content-type': 'application/json'}, body: JSON.stringify(body)});
	await response.body.dump();
}

async function isReady(address: string): Promise<boolean> {
	try {
		const response = await request(`http://${address}/ready`);
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		return false;
	}
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
