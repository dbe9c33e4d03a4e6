/** Hosts several workers' stand-ins in one process and registers them in the store. */
import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import {appendKeyedRecord} from '../append-keyed-record.js';
import type {RunEvent} from './run-event.js';
import {WorkerService} from './worker-service.js';

const cpuCapacity = 64_000;
const cpuOfTask = 27_000;
const memoryMegabytes = 262_144;
/** Time until a worker that a task has crashed restarts. */
const restartDelayMilliseconds = 2000;
const heartbeatMilliseconds = 1500;
/** Records expire after three missed heartbeats. */
const expiryMilliseconds = 3 * heartbeatMilliseconds;
/** Workers close connections that are idle for this long. */
const idleMilliseconds = 2000;
/** Time until a draining worker is replaced. */
const drainMilliseconds = 3000;
const topic = 'keyed.servers';

type WorkerSlot = {service: WorkerService; replacementNumber: number; sequence: number; state: 'ready' | 'draining'; address: string | undefined; readonly zone: string};

/** Records the runs of all its workers, so that duplicate runs of a task can be detected. */
export class WorkerHost {
	readonly events: RunEvent[] = [];
	readonly #slots: WorkerSlot[] = [];
	readonly #timer: NodeJS.Timeout;

	constructor(private readonly storeAddress: string, private readonly service: string) {
		this.#timer = setInterval(() => {
			for (const slot of this.#slots) {
				void this.#register(slot);
			}
		}, heartbeatMilliseconds);
	}

	/** Adds a worker and returns its port. It is registered once its address is set, which may be that of a proxy. */
	async add(zone: string): Promise<number> {
		const slot: WorkerSlot = {
			service: this.#createWorker(`i-${this.#slots.length}-1`), replacementNumber: 1, sequence: 0, state: 'ready', address: undefined, zone,
		};
		this.#slots.push(slot);
		return new Promise(resolve => {
			serve({
				fetch: async incoming => slot.service.routes().fetch(incoming), hostname: '127.0.0.1', port: 0, serverOptions: {keepAliveTimeout: idleMilliseconds},
			}, ({port}) => {
				resolve(port);
			});
		});
	}

	/** Control interface: injects faults and returns recorded runs. */
	routes(): Hono {
		const routes = new Hono();
		routes.get('/truth', context => context.json(this.events.slice(Number(context.req.query('from') ?? 0))));
		routes.get('/running', context => context.json(this.#slots.flatMap(({service}) => service.running)));
		routes.post('/workers/:index/address', async context => {
			const slot = this.#slots[Number(context.req.param('index'))]!;
			slot.address = await context.req.text();
			await this.#register(slot);
			return context.json({});
		});
		routes.post('/workers/:index/crash', context => {
			this.#restart(this.#slots[Number(context.req.param('index'))]!);
			return context.json({});
		});
		routes.post('/workers/:index/drain', async context => {
			const index = Number(context.req.param('index'));
			const {service} = this.#slots[index]!;
			return context.json({worker: service.incarnationName, acceptedAt: await this.#drain(index) ? Date.now() : null});
		});
		return routes;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#createWorker(id: string): WorkerService {
		const worker: WorkerService = new WorkerService(id, cpuCapacity, cpuOfTask, event => {
			this.events.push(event);
		}, () => {
			this.#handleCrash(worker);
		});
		return worker;
	}

	/** Takes a crashed worker offline and restarts it later under the same id. */
	#handleCrash(worker: WorkerService): void {
		worker.crash();
		setTimeout(() => {
			const slot = this.#slots.find(({service}) => service === worker);
			if (slot !== undefined) {
				this.#restart(slot);
			}
		}, restartDelayMilliseconds);
	}

	/** Starts a new incarnation under the same id, without any state of the previous one. */
	#restart(slot: WorkerSlot): void {
		slot.service.crash();
		slot.service = this.#createWorker(slot.service.id);
		slot.sequence = 0;
		slot.state = 'ready';
		void this.#register(slot);
	}

	/** Starts a new worker at the same address; the record of the previous one expires later. */
	#replace(index: number): void {
		const slot = this.#slots[index]!;
		const previous = slot.service;
		previous.crash();
		slot.replacementNumber += 1;
		slot.service = this.#createWorker(`i-${index}-${slot.replacementNumber}`);
		slot.sequence = 0;
		slot.state = 'ready';
		void this.#register(slot);
		setTimeout(() => {
			void this.#write(previous.id, '');
		}, expiryMilliseconds);
	}

	/** Registers a worker as draining and replaces it later; true if the store confirmed the registration. */
	async #drain(index: number): Promise<boolean> {
		const slot = this.#slots[index]!;
		const {service} = slot;
		slot.state = 'draining';
		const isAccepted = await this.#register(slot);
		setTimeout(() => {
			if (slot.service === service) {
				this.#replace(index);
			}
		}, drainMilliseconds);
		return isAccepted;
	}

	async #register(slot: WorkerSlot): Promise<boolean> {
		if (slot.address === undefined) {
			return false;
		}

		slot.sequence += 1;
		return this.#write(slot.service.id, JSON.stringify({
			service: this.service,
			addr: slot.address,
			zone: slot.zone,
			version: '1',
			slots: 8,
			state: slot.state,
			born: slot.service.incarnation,
			seq: slot.sequence,
			capacity: {cpu: cpuCapacity, mem_mb: memoryMegabytes, gpu: 0},
			labels: [],
		}));
	}

	/** Failed writes are repeated by the next heartbeat. */
	async #write(id: string, value: string): Promise<boolean> {
		return appendKeyedRecord(this.storeAddress, {topic, key: id, value});
	}
}
