/** A stand-in for a worker with capacity, leases, fencing tokens and a list of ended runs. */
import {Hono, type Context} from 'hono';
import {z} from 'zod';
import {ConditionVariable} from '../condition-variable.js';
import {crashingPayload} from './crashing-payload.js';
import type {RunEvent} from './run-event.js';
import {workerFaultSchema} from './worker-fault.js';

const stopMilliseconds = 50;
const crashMilliseconds = 20;
const longestLeaseMilliseconds = 1000;
const longestWaitMilliseconds = 2000;

const startSchema = z.object({
	task: z.string(), attempt: z.number(), spec: z.string(), until_ms: z.number(), fence_token: z.number().default(0),
});
const stopSchema = z.object({task: z.string(), attempt: z.number(), fence_token: z.number().default(0)});
const holdSchema = z.object({
	fence_token: z.number().default(0), last_seen: z.number(), until_ms: z.number().optional(), wait_ms: z.number().max(longestWaitMilliseconds).default(0),
});

type Run = {readonly task: string; readonly attempt: number; readonly payload: string; readonly timer: NodeJS.Timeout | undefined};
type End = readonly [number: number, task: string, attempt: number, how: string, saved: string];

/**
 * Simulates runs: a payload is the duration in milliseconds, and any other text fails. Each run uses `cpuOfTask` of the
 * capacity. `onEvent` receives each start and end, `onCrash` is called when a run crashes the worker. Tests that don't depend on time
 * replace `startTimer`, which ends runs, leases and waits.
 */
export class WorkerService {
	/** All runs that were started. */
	readonly starts: Array<{readonly task: string; readonly attempt: number}> = [];
	readonly #runs = new Map<string, Run>();
	readonly #revokedAttempts = new Map<string, number>();
	readonly #runEnded: ConditionVariable;
	#ended: End[] = [];
	#endCount = 0;
	#fence = 0;
	#leaseUntil = 0;
	#leaseTimer: NodeJS.Timeout | undefined;
	#mode: NonNullable<z.output<typeof workerFaultSchema>['mode']> = 'normal';
	#lateMilliseconds = 0;
	#slowness = 1;
	#isDown = false;
	/** Start time in Unix milliseconds, which distinguishes incarnations of the same id. */
	readonly #incarnation = Date.now();
	readonly #startedAt = performance.now();

	constructor(
		readonly id: string,
		private readonly cpuCapacity: number,
		private readonly cpuOfTask: number,
		private readonly onEvent: (event: RunEvent) => void = () => undefined,
		private readonly onCrash: () => void = () => undefined,
		private readonly startTimer: (callback: () => void, milliseconds: number) => NodeJS.Timeout | undefined = setTimeout,
	) {
		this.#runEnded = new ConditionVariable(startTimer);
	}

	routes(): Hono {
		const routes = new Hono();
		routes.post('/faults', async context => {
			this.injectFault(workerFaultSchema.parse(await context.req.json()));
			return context.json({});
		});
		routes.post('/run-start', async context => this.#handle(context, body => this.#start(startSchema.parse(body))));
		routes.post('/run-stop', async context => this.#handle(context, body => this.#stop(stopSchema.parse(body))));
		routes.post('/hold', async context => this.#handle(context, async body => this.#hold(holdSchema.parse(body))));
		return routes;
	}

	injectFault(fault: z.output<typeof workerFaultSchema>): void {
		this.#mode = fault.mode ?? this.#mode;
		this.#lateMilliseconds = fault.lateMilliseconds ?? this.#lateMilliseconds;
		this.#slowness = fault.slowness ?? this.#slowness;
	}

	/** Ends all runs and stops responding, like a machine that fails. */
	crash(): void {
		this.#isDown = true;
		clearTimeout(this.#leaseTimer);
		for (const task of this.#runs.keys()) {
			this.#end(task, 'crashed');
		}
	}

	/** Unique name of this incarnation. */
	get incarnationName(): string {
		return `${this.id}@${this.#incarnation}`;
	}

	get incarnation(): number {
		return this.#incarnation;
	}

	get running(): readonly string[] {
		return [...this.#runs.keys()];
	}

	get #clock(): number {
		return Math.floor(performance.now() - this.#startedAt);
	}

	async #handle(context: Context, action: (body: unknown) => Response | Promise<Response>): Promise<Response> {
		const intended = context.req.header('expect-instance');
		if (intended !== undefined && intended !== this.id) {
			return context.json({}, 421);
		}

		if (this.#isDown) {
			return neverReply();
		}

		const body = await context.req.json<unknown>();
		switch (this.#mode) {
			case 'unhealthy': {
				return context.json({}, 503);
			}

			case 'garbled': {
				return context.text('{"unfinished');
			}

			case 'silent': {
				return neverReply();
			}

			case 'losing': {
				await action(body);
				return neverReply();
			}

			case 'late': {
				setTimeout(() => {
					void action(body);
				}, this.#lateMilliseconds);
				return neverReply();
			}

			case 'normal':
			case 'failing':
			case 'hanging': {
				return action(body);
			}
		}
	}

	#start({task, attempt, spec, until_ms: until, fence_token: fence}: z.output<typeof startSchema>): Response {
		if (!this.#acceptsFence(fence)) {
			return this.#reject('fence');
		}

		if (this.#runs.get(task)?.attempt === attempt) {
			return this.#reply({});
		}

		if (until <= this.#clock) {
			return this.#reject('late');
		}

		this.#renew(until);
		if ((this.#revokedAttempts.get(task) ?? 0) >= attempt) {
			return this.#reject('old');
		}

		if ((this.#runs.size + 1) * this.cpuOfTask > this.cpuCapacity) {
			return this.#reject('room');
		}

		this.#run(task, attempt, spec);
		return this.#reply({});
	}

	#run(task: string, attempt: number, payload: string): void {
		this.starts.push({task, attempt});
		const milliseconds = Number(payload);
		const isDone = this.#mode !== 'failing' && !Number.isNaN(milliseconds);
		const timer = payload === crashingPayload
			? this.startTimer(this.onCrash, crashMilliseconds)
			: this.startTimer(() => {
				this.#end(task, isDone ? 'done' : 'failed');
			}, this.#mode === 'hanging' ? 2 ** 30 : (milliseconds || 0) * this.#slowness);
		this.#runs.set(task, {
			task, attempt, payload, timer,
		});
		this.#emit('start', '', {task, attempt, payload});
	}

	#emit(kind: RunEvent['kind'], how: string, {task, attempt, payload}: Omit<Run, 'timer'>): void {
		this.onEvent({
			at: Date.now(), worker: this.incarnationName, kind, how, task, attempt, payload,
		});
	}

	#stop({task, attempt, fence_token: fence}: z.output<typeof stopSchema>): Response {
		if (!this.#acceptsFence(fence)) {
			return this.#reject('fence');
		}

		this.#revokedAttempts.set(task, Math.max(attempt, this.#revokedAttempts.get(task) ?? 0));
		if (this.#runs.get(task)?.attempt === attempt) {
			this.startTimer(() => {
				this.#end(task, 'stopped');
			}, stopMilliseconds / 2);
		}

		return this.#reply({});
	}

	async #hold({fence_token: fence, last_seen: lastSeen, until_ms: until, wait_ms: wait}: z.output<typeof holdSchema>): Promise<Response> {
		if (!this.#acceptsFence(fence)) {
			return this.#reject('fence');
		}

		this.#ended = this.#ended.filter(([number]) => number > lastSeen);
		if (until !== undefined) {
			this.#renew(until);
		}

		await this.#waitForEnd(lastSeen, wait);
		if (this.#isDown) {
			return neverReply();
		}

		return this.#reply({born: this.#incarnation, num_running: [...this.#runs.values()].map(({task, attempt}) => [task, attempt, '', 100, this.cpuOfTask]), ended: this.#ended});
	}

	/** Waits until there is an ended run with a number above `lastSeen`, or until the timeout. */
	async #waitForEnd(lastSeen: number, milliseconds: number): Promise<void> {
		const until = performance.now() + milliseconds;
		for (let left = milliseconds; left > 0 && !this.#ended.some(([number]) => number > lastSeen); left = until - performance.now()) {
			await this.#runEnded.wait(left);
		}
	}

	#acceptsFence(fence: number): boolean {
		this.#fence = Math.max(this.#fence, fence);
		return fence === this.#fence;
	}

	/** Extends the lease, never shortens it. */
	#renew(until: number): void {
		const clock = this.#clock;
		this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, clock + longestLeaseMilliseconds));
		clearTimeout(this.#leaseTimer);
		this.#leaseTimer = this.startTimer(() => {
			for (const task of this.#runs.keys()) {
				this.#end(task, 'lapsed');
			}
		}, this.#leaseUntil - clock);
	}

	#end(task: string, how: string): void {
		const run = this.#runs.get(task);
		if (run === undefined) {
			return;
		}

		clearTimeout(run.timer);
		this.#runs.delete(task);
		this.#revokedAttempts.set(task, Math.max(run.attempt, this.#revokedAttempts.get(task) ?? 0));
		this.#endCount += 1;
		this.#ended.push([this.#endCount, task, run.attempt, how, '']);
		this.#emit('end', how, run);
		this.#runEnded.notifyAll();
	}

	#reply(body: Readonly<Record<string, unknown>>): Response {
		return Response.json({clock_ms: this.#clock, ...body});
	}

	#reject(reason: string): Response {
		return Response.json({clock_ms: this.#clock, reason}, {status: 409});
	}
}

async function neverReply(): Promise<Response> {
	return new Promise(() => {
		// Simulates a lost response.
	});
}
