/** Several workers' stand-ins in one process, which register themselves in the store. */
import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import {appendKeyedRecord} from '../append-keyed-record.js';
import type {RunEvent} from './run-event.js';
import {WorkerService} from './worker-service.js';

const cpuCapacity = 64_000;
const cpuOfTask = 27_000;
const memoryMegabytes = 262_144;
/** A worker that a task has crashed starts again after so long. */
const downMilliseconds = 2000;
const heartbeatMilliseconds = 1500;
/** An entry goes from the store after three heartbeats of silence. */
const lapseMilliseconds = 3 * heartbeatMilliseconds;
/** How long a draining worker goes on after the store has accepted its report. */
const drainMilliseconds = 3000;
const topic = 'keyed.servers';

type Place = {service: WorkerService; life: number; sequence: number; state: 'ready' | 'draining'; address: string | undefined; readonly zone: string};

/** Keeps the truth of all its workers, so that runs of one task on two of them can be told. */
export class WorkerHost {
	readonly events: RunEvent[] = [];
	readonly #places: Place[] = [];
	readonly #timer: NodeJS.Timeout;

	constructor(private readonly storeAddress: string, private readonly service: string) {
		this.#timer = setInterval(() => {
			for (const place of this.#places) {
				void this.#register(place);
			}
		}, heartbeatMilliseconds);
	}

	/** Adds a worker and returns its port. It registers itself once it's told its address, which may be a relay's. */
	async add(zone: string): Promise<number> {
		const place: Place = {
			service: this.#newLife(`i-${this.#places.length}-1`), life: 1, sequence: 0, state: 'ready', address: undefined, zone,
		};
		this.#places.push(place);
		return new Promise(resolve => {
			serve({fetch: async incoming => place.service.routes().fetch(incoming), hostname: '127.0.0.1', port: 0}, ({port}) => {
				resolve(port);
			});
		});
	}

	/** The host's own interface, for whoever breaks its workers and wants the truth. */
	routes(): Hono {
		const routes = new Hono();
		routes.get('/truth', context => context.json(this.events.slice(Number(context.req.query('from') ?? 0))));
		routes.get('/running', context => context.json(this.#places.flatMap(({service}) => service.running)));
		routes.post('/workers/:index/address', async context => {
			const place = this.#places[Number(context.req.param('index'))]!;
			place.address = await context.req.text();
			await this.#register(place);
			return context.json({});
		});
		routes.post('/workers/:index/crash', context => {
			this.#restart(this.#places[Number(context.req.param('index'))]!);
			return context.json({});
		});
		routes.post('/workers/:index/drain', async context => {
			const index = Number(context.req.param('index'));
			const {service} = this.#places[index]!;
			return context.json({worker: service.incarnationName, acceptedAt: await this.#drain(index) ? Date.now() : null});
		});
		return routes;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	#newLife(id: string): WorkerService {
		const life: WorkerService = new WorkerService(id, cpuCapacity, cpuOfTask, event => {
			this.events.push(event);
		}, () => {
			this.#goDown(life);
		});
		return life;
	}

	/** A task has crashed the worker: nothing answers there until it starts again under its id. */
	#goDown(life: WorkerService): void {
		life.crash();
		setTimeout(() => {
			const place = this.#places.find(({service}) => service === life);
			if (place !== undefined) {
				this.#restart(place);
			}
		}, downMilliseconds);
	}

	/** A new life under the same id, which knows nothing of before and counts anew. */
	#restart(place: Place): void {
		place.service.crash();
		place.service = this.#newLife(place.service.id);
		place.sequence = 0;
		place.state = 'ready';
		void this.#register(place);
	}

	/** A new worker at the same address; the store forgets the former one after a while. */
	#replace(index: number): void {
		const place = this.#places[index]!;
		const former = place.service;
		former.crash();
		place.life += 1;
		place.service = this.#newLife(`i-${index}-${place.life}`);
		place.sequence = 0;
		place.state = 'ready';
		void this.#register(place);
		setTimeout(() => {
			void this.#write(former.id, '');
		}, lapseMilliseconds);
	}

	/** Reports that it leaves, and is replaced later; true once the store has accepted the report. */
	async #drain(index: number): Promise<boolean> {
		const place = this.#places[index]!;
		const {service} = place;
		place.state = 'draining';
		const isAccepted = await this.#register(place);
		setTimeout(() => {
			if (place.service === service) {
				this.#replace(index);
			}
		}, drainMilliseconds);
		return isAccepted;
	}

	async #register(place: Place): Promise<boolean> {
		if (place.address === undefined) {
			return false;
		}

		place.sequence += 1;
		return this.#write(place.service.id, JSON.stringify({
			service: this.service,
			addr: place.address,
			zone: place.zone,
			version: '1',
			slots: 8,
			state: place.state,
			born: place.service.incarnation,
			seq: place.sequence,
			capacity: {cpu: cpuCapacity, mem_mb: memoryMegabytes, gpu: 0},
			labels: [],
		}));
	}

	/** Where the store didn't accept, the next heartbeat registers the worker again. */
	async #write(id: string, value: string): Promise<boolean> {
		return appendKeyedRecord(this.storeAddress, {topic, key: id, value});
	}
}
