/** Runs the processes of a soak: store, workers and entries, with relays between them. */
import process from 'node:process';
import {request} from 'undici';
import {Program} from '../fleet/program.js';
import {ConfigurationPublisher} from '../standins/configuration-publisher.js';
import {FaultProxy} from '../standins/fault-proxy.js';
import {EdgeProcess} from './edge-process.js';
import {SharedRuns} from './shared-runs.js';
import {soakHost} from './soak-host.js';
import type {SoakPlan} from './soak-plan.js';
import type {SoakRecord} from './soak-record.js';

const service = 'service';
/** Number of distinct loopback networks, so that concurrent soaks use different addresses. */
const networkCount = 200;

/** Starts and terminates the processes and relays. */
export class SoakEnvironment {
	static async start(plan: SoakPlan, folder: string, record: SoakRecord): Promise<SoakEnvironment> {
		const store = await Program.start('standins/store/main.js', []);
		const storeAddress = `127.0.0.1:${store.ports.httpPort}`;
		const zones = Array.from({length: plan.zones}, (_, index) => `zone-${index + 1}`);
		const workerZones = zones.flatMap(zone => Array.from({length: plan.workersPerZone}, () => zone));
		const host = await Program.start('standins/worker/main.js', ['--store', storeAddress, '--service', service, '--zones', workerZones.join(',')]);
		const environment = new SoakEnvironment(plan, store, host, createEntries(plan, {
			zones, folder, storeAddress, record,
		}));
		try {
			await environment.#openWorkers();
			const seeds = await Promise.all(environment.entries.map(async entry => entry.openRelays()));
			await Promise.all(environment.entries.map(async entry => entry.start(seeds.slice(0, 3))));
		} catch (error) {
			await environment.stop();
			throw error;
		}

		return environment;
	}

	readonly workerRelays: FaultProxy[] = [];
	readonly sharedRuns: SharedRuns;
	readonly entries: readonly EdgeProcess[];
	readonly operator: ConfigurationPublisher;
	readonly storeAddress: string;

	private constructor(private readonly plan: SoakPlan, private readonly store: Program, private readonly host: Program, {entries, sharedRuns}: Fleet) {
		this.entries = entries;
		this.sharedRuns = sharedRuns;
		this.storeAddress = `127.0.0.1:${store.ports.httpPort}`;
		this.operator = new ConfigurationPublisher(this.storeAddress, service, soakHost);
	}

	get workerCount(): number {
		return this.workerRelays.length;
	}

	/** Starts a terminated entry again. */
	async restart(entry: EdgeProcess): Promise<void> {
		await entry.start(this.entries.slice(0, 3).map(seed => seed.advertisedPeerAddress));
	}

	/** Sets fault parameters of the stand-in store. */
	async setStoreFault(fault: Readonly<Record<string, unknown>>): Promise<void> {
		await post(`http://${this.storeAddress}/faults`, fault);
	}

	/** Sets fault parameters of a stand-in worker. */
	async setWorkerFault(index: number, fault: Readonly<Record<string, unknown>>): Promise<void> {
		await post(`http://127.0.0.1:${this.host.ports.httpPorts![index]}/faults`, fault);
	}

	async crashWorker(index: number): Promise<void> {
		await post(`${this.#hostUrl}/workers/${index}/crash`, {});
	}

	/** Drains a worker. `acceptedAt` is when the store accepted the change, or `undefined` if it did not. */
	async drainWorker(index: number): Promise<{readonly worker: string; readonly acceptedAt: number | undefined}> {
		return await post(`${this.#hostUrl}/workers/${index}/drain`, {}) as {readonly worker: string; readonly acceptedAt: number | undefined};
	}

	/** Run events of all workers. */
	async runEvents(): Promise<SoakRecord['runs']> {
		return await get(`${this.#hostUrl}/truth`) as SoakRecord['runs'];
	}

	/** Tasks that workers run now. */
	async runningTasks(): Promise<readonly string[]> {
		return await get(`${this.#hostUrl}/running`) as readonly string[];
	}

	/** Terminates all processes, including suspended ones, and closes the relays. */
	async stop(): Promise<void> {
		for (const entry of this.entries) {
			entry.signal('SIGCONT');
		}

		// Node.js writes a CPU profile only on a normal exit.
		const signal = this.plan.profileFolder === undefined ? 'SIGKILL' : 'SIGTERM';
		await Promise.all(this.entries.map(async entry => entry.terminate(signal)));
		await Promise.all([this.store, this.host].map(async program => program.terminate('SIGKILL')));
		for (const relay of this.workerRelays) {
			relay.close();
		}
	}

	get #hostUrl(): string {
		return `http://127.0.0.1:${this.host.ports.httpPort}`;
	}

	async #openWorkers(): Promise<void> {
		for (const [index, port] of this.host.ports.httpPorts!.entries()) {
			const relay = new FaultProxy(false, false);
			relay.forwardTo(`127.0.0.1:${port}`);
			this.workerRelays.push(relay);
			const address = await relay.listen();
			const response = await request(`${this.#hostUrl}/workers/${index}/address`, {method: 'POST', body: address});
			await response.body.dump();
		}
	}
}

async function post(url: string, body: unknown): Promise<unknown> {
	const response = await request(url, {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(body)});
	return response.body.json();
}

async function get(url: string): Promise<unknown> {
	const response = await request(url);
	return response.body.json();
}

/** The entries, and the runs between them. */
type Fleet = {readonly entries: readonly EdgeProcess[]; readonly sharedRuns: SharedRuns};

/** Settings that all entries share. */
type SharedEntrySettings = {readonly zones: readonly string[]; readonly folder: string; readonly storeAddress: string; readonly record: SoakRecord};

function createEntries(plan: SoakPlan, {zones, folder, storeAddress, record}: SharedEntrySettings): Fleet {
	const network = process.pid % networkCount;
	const sharedRuns = new SharedRuns();
	const present = {bundle: plan.bundle, scheduling: plan.scheduling};
	const entries = zones.flatMap((zone, zoneIndex) => Array.from({length: plan.entriesPerZone}, (_, index) => new EdgeProcess({
		instance: `${zone}-entry-${index + 1}`,
		zone,
		address: `127.${network + 10}.${zoneIndex + 1}.${index + 1}`,
		storeAddress,
		folder,
		profileFolder: plan.profileFolder,
		present,
		former: plan.formerBundle === '' ? present : {bundle: plan.formerBundle, scheduling: plan.formerScheduling},
		sharedRuns,
		onDefect(kind, detail) {
			record[kind].push(detail);
		},
	})));
	return {entries, sharedRuns};
}
