/** A stand-in for a target: simulates tasks by timers, enforces its limits and counts events. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {match, P} from 'ts-pattern';
import type {z} from 'zod';
import {behaviourSchema} from './behaviour.js';
import type {TargetCounters} from './target-counters.js';

type Behaviour = z.output<typeof behaviourSchema>;
type Payload = {readonly runMilliseconds?: number; readonly fails?: boolean; readonly echo?: unknown};
type Running = {readonly startedAt: number; readonly end: (isStopped: boolean) => void};

const defaultRunMilliseconds = 50;

/** HTTP server of one target. */
export class TargetServer {
	readonly counters: TargetCounters = {
		starts: 0, doubleStarts: 0, finished: 0, failed: 0, overSlots: 0, overConnections: 0, refused: 0, stopped: 0,
		stopsAsked: 0, unwanted: 0, usageAsked: 0, peakSlots: 0, peakConnections: 0, busyMilliseconds: 0,
	};

	readonly #server: Server;
	readonly #running = new Map<string, Running>();
	#connections = 0;
	#behaviour: Behaviour = behaviourSchema.parse({});

	/** `startedTasks` is shared by all targets of a process, to detect a second start on another target. */
	constructor(private readonly slots: number, private readonly connections: number, private readonly startedTasks: Set<string>) {
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
		this.#server.on('connection', socket => {
			this.#connections += 1;
			this.counters.peakConnections = Math.max(this.counters.peakConnections, this.#connections);
			if (this.#connections > this.connections) {
				this.counters.overConnections += 1;
				socket.destroy();
			}

			socket.on('close', () => {
				this.#connections -= 1;
			});
		});
	}

	async listen(address: string, port: number): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, address, resolve);
		});
		return (this.#server.address() as AddressInfo).port;
	}

	setBehaviour(behaviour: Partial<Behaviour>): void {
		this.#behaviour = behaviourSchema.parse({...this.#behaviour, ...behaviour});
	}

	/** Simulates a crash: closes all connections and stops all tasks. */
	kill(): void {
		this.#server.close();
		this.#server.closeAllConnections();
		for (const running of this.#running.values()) {
			running.end(true);
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = request.url ?? '';
		const body = await textOf(request);
		match({method: request.method, url})
			.with({method: 'POST', url: '/v1/tasks'}, () => {
				this.#run(request, response, JSON.parse(body) as Payload);
			})
			.with({method: 'DELETE', url: P.string.startsWith('/v1/tasks/')}, () => {
				this.#stop(decodeURIComponent(url.slice('/v1/tasks/'.length)), response);
			})
			.with({url: '/v1/usage'}, () => {
				this.counters.usageAsked += 1;
				reply(response, 200, {running: [...this.#running.keys()], lagMilliseconds: 0});
			})
			.with({url: '/truth'}, () => {
				reply(response, 200, {...this.counters, busyMilliseconds: this.counters.busyMilliseconds + this.#runningMilliseconds()});
			})
			.with({url: '/begun'}, () => {
				reply(response, 200, [...this.startedTasks]);
			})
			.with({url: '/behaviour'}, () => {
				this.setBehaviour(JSON.parse(body) as Partial<Behaviour>);
				reply(response, 200, {status: 'done'});
			})
			.otherwise(() => {
				reply(response, 404, {failure: 'no such resource'});
			});
	}

	/** Total time of the running tasks so far. */
	#runningMilliseconds(): number {
		const now = performance.now();
		return [...this.#running.values()].reduce((sum, {startedAt}) => sum + now - startedAt, 0);
	}

	#run(request: IncomingMessage, response: ServerResponse, payload: Payload): void {
		const taskId = String(request.headers['task-id']);
		const limit = Number(request.headers['task-limit-milliseconds'] ?? Number.POSITIVE_INFINITY);
		if (this.#running.size >= this.slots || this.#behaviour.mode === 'refusing') {
			this.counters.overSlots += this.#running.size >= this.slots ? 1 : 0;
			this.counters.refused += 1;
			reply(response, 503, {failure: 'no free slot'}, {'task-id': taskId, 'task-verdict': 'not-run'});
			return;
		}

		this.#recordStart(taskId);
		const isFailing = payload.fails === true || this.#behaviour.mode === 'failing';
		// A failing target responds fast, which attracts more load.
		const durationMilliseconds = this.#behaviour.mode === 'failing' ? 1 : (payload.runMilliseconds ?? defaultRunMilliseconds) * this.#behaviour.slowness;
		const startedAt = performance.now();
		const timer = setTimeout(() => {
			end(false);
		}, Math.min(durationMilliseconds, limit));
		const end = (isStopped: boolean) => {
			clearTimeout(timer);
			this.#running.delete(taskId);
			const runMilliseconds = performance.now() - startedAt;
			this.counters.busyMilliseconds += runMilliseconds;
			if (isStopped) {
				this.counters.stopped += 1;
				response.destroy();
				return;
			}

			this.#answer(response, taskId, {isFailing: isFailing || durationMilliseconds > limit, runMilliseconds, echo: payload.echo ?? taskId});
		};

		this.#running.set(taskId, {startedAt, end});
	}

	#recordStart(taskId: string): void {
		this.counters.starts += 1;
		this.counters.doubleStarts += this.startedTasks.has(taskId) ? 1 : 0;
		this.startedTasks.add(taskId);
		this.counters.peakSlots = Math.max(this.counters.peakSlots, this.#running.size + 1);
	}

	#answer(response: ServerResponse, taskId: string, {isFailing, runMilliseconds, echo}: {isFailing: boolean; runMilliseconds: number; echo: unknown}): void {
		this.counters.unwanted += response.destroyed || response.socket?.destroyed === true ? 1 : 0;
		this.counters.finished += isFailing ? 0 : 1;
		this.counters.failed += isFailing ? 1 : 0;
		const {mode} = this.#behaviour;
		if (mode === 'silent') {
			return;
		}

		const answeredId = mode === 'crossed' ? `${taskId}-of-another` : taskId;
		const body = isFailing ? {failure: 'the task failed', runMilliseconds} : {result: echo, runMilliseconds};
		if (mode === 'half') {
			const text = JSON.stringify(body);
			response.writeHead(200, {'content-type': 'application/json', 'content-length': text.length, 'task-id': answeredId});
			response.write(text.slice(0, text.length / 2));
			setTimeout(() => {
				response.destroy();
			}, 1);
			return;
		}

		reply(response, isFailing ? 500 : 200, body, {'task-id': answeredId});
	}

	#stop(taskId: string, response: ServerResponse): void {
		this.counters.stopsAsked += 1;
		this.#running.get(taskId)?.end(true);
		reply(response, 200, {status: 'not running'});
	}
}

function reply(response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers});
	response.end(text);
}

async function textOf(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return new TextDecoder().decode(Buffer.concat(chunks));
}
