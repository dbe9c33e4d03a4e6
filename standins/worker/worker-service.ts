/** A stand-in for a worker: capacity, leases, fencing tokens and a list of ends. */
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

type Run = {readonly task: string; readonly attempt: number; readonly payload: string; readonly timer: NodeJS.Timeout};
type End = readonly [number: number, task: string, attempt: number, how: string, saved: string];

/**
 * A task runs for as many milliseconds as its text says, on `cpuOfTask` of the capacity; one whose text is no number fails, and
 * one that crashes its worker is told to `onFatal`.
 * `note` is told what really ran, whatever the callers are told.
 */
export class WorkerService {
	/** Every start that was carried out. */
	readonly starts: Array<{readonly task: string; readonly attempt: number}> = [];
	readonly #runs = new Map<string, Run>();
	readonly #barred = new Map<string, number>();
	readonly #waiters = new ConditionVariable();
	#ended: End[] = [];
	#endCount = 0;
	#fence = 0;
	#until = 0;
	#lapse: NodeJS.Timeout | undefined;
	#mode: NonNullable<z.output<typeof workerFaultSchema>['mode']> = 'normal';
	#lateMilliseconds = 0;
	#slowness = 1;
	#isDown = false;
	/** When this life began: an id may have several, one after the other. */
	readonly #born = Date.now();
	readonly #startedAt = performance.now();

	constructor(
		readonly id: string,
		private readonly cpuCapacity: number,
		private readonly cpuOfTask: number,
		private readonly note: (event: RunEvent) => void = () => undefined,
		private readonly onFatal: () => void = () => undefined,
	) {}

	routes(): Hono {
		const routes = new Hono();
		routes.post('/faults', async context => {
			this.injectFault(workerFaultSchema.parse(await context.req.json()));
			return context.json({});
		});
		routes.post('/run-start', async context => this.#guard(context, body => this.#start(startSchema.parse(body))));
		routes.post('/run-stop', async context => this.#guard(context, body => this.#stop(stopSchema.parse(body))));
		routes.post('/hold', async context => this.#guard(context, async body => this.#hold(holdSchema.parse(body))));
		return routes;
	}

	injectFault(fault: z.output<typeof workerFaultSchema>): void {
		this.#mode = fault.mode ?? this.#mode;
		this.#lateMilliseconds = fault.lateMilliseconds ?? this.#lateMilliseconds;
		this.#slowness = fault.slowness ?? this.#slowness;
	}

	/** Loses everything that runs, as a machine does that goes down; what it was asked gets no answer any more. */
	crash(): void {
		this.#isDown = true;
		clearTimeout(this.#lapse);
		for (const task of this.#runs.keys()) {
			this.#end(task, 'crashed');
		}
	}

	/** Names this life among those of the same id. */
	get incarnationName(): string {
		return `${this.id}@${this.#born}`;
	}

	get incarnation(): number {
		return this.#born;
	}

	get running(): readonly string[] {
		return [...this.#runs.keys()];
	}

	get #clock(): number {
		return Math.floor(performance.now() - this.#startedAt);
	}

	async #guard(context: Context, action: (body: unknown) => Response | Promise<Response>): Promise<Response> {
		const intended = context.req.header('expect-instance');
		if (intended !== undefined && intended !== this.id) {
			return context.json({}, 421);
		}

		if (this.#isDown) {
			return never();
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
				return never();
			}

			case 'losing': {
				await action(body);
				return never();
			}

			case 'late': {
				setTimeout(() => {
					void action(body);
				}, this.#lateMilliseconds);
				return never();
			}

			case 'normal':
			case 'failing':
			case 'hanging': {
				return action(body);
			}
		}
	}

	#start({task, attempt, spec, until_ms: until, fence_token: fence}: z.output<typeof startSchema>): Response {
		if (!this.#passes(fence)) {
			return this.#reject('fence');
		}

		if (this.#runs.get(task)?.attempt === attempt) {
			return this.#reply({});
		}

		if (until <= this.#clock) {
			return this.#reject('late');
		}

		this.#renew(until);
		if ((this.#barred.get(task) ?? 0) >= attempt) {
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
			? setTimeout(this.onFatal, crashMilliseconds)
			: setTimeout(() => {
				this.#end(task, isDone ? 'done' : 'failed');
			}, this.#mode === 'hanging' ? 2 ** 30 : (milliseconds || 0) * this.#slowness);
		this.#runs.set(task, {
			task, attempt, payload, timer,
		});
		this.#note('start', '', {task, attempt, payload});
	}

	#note(kind: RunEvent['kind'], how: string, {task, attempt, payload}: Omit<Run, 'timer'>): void {
		this.note({
			at: Date.now(), worker: this.incarnationName, kind, how, task, attempt, payload,
		});
	}

	#stop({task, attempt, fence_token: fence}: z.output<typeof stopSchema>): Response {
		if (!this.#passes(fence)) {
			return this.#reject('fence');
		}

		this.#barred.set(task, Math.max(attempt, this.#barred.get(task) ?? 0));
		if (this.#runs.get(task)?.attempt === attempt) {
			setTimeout(() => {
				this.#end(task, 'stopped');
			}, stopMilliseconds / 2);
		}

		return this.#reply({});
	}

	async #hold({fence_token: fence, last_seen: lastSeen, until_ms: until, wait_ms: wait}: z.output<typeof holdSchema>): Promise<Response> {
		if (!this.#passes(fence)) {
			return this.#reject('fence');
		}

		this.#ended = this.#ended.filter(([number]) => number > lastSeen);
		if (until !== undefined) {
			this.#renew(until);
		}

		await this.#waitForEnd(lastSeen, wait);
		if (this.#isDown) {
			return never();
		}

		return this.#reply({born: this.#born, num_running: [...this.#runs.values()].map(({task, attempt}) => [task, attempt, '', 100, this.cpuOfTask]), ended: this.#ended});
	}

	/** Only an end with a higher number than the one that the caller has seen ends the wait early. */
	async #waitForEnd(lastSeen: number, milliseconds: number): Promise<void> {
		const until = performance.now() + milliseconds;
		for (let left = milliseconds; left > 0 && !this.#ended.some(([number]) => number > lastSeen); left = until - performance.now()) {
			await this.#waiters.wait(left);
		}
	}

	#passes(fence: number): boolean {
		this.#fence = Math.max(this.#fence, fence);
		return fence === this.#fence;
	}

	/** Never shortens. */
	#renew(until: number): void {
		const clock = this.#clock;
		this.#until = Math.max(this.#until, Math.min(until, clock + longestLeaseMilliseconds));
		clearTimeout(this.#lapse);
		this.#lapse = setTimeout(() => {
			for (const task of this.#runs.keys()) {
				this.#end(task, 'lapsed');
			}
		}, this.#until - clock);
	}

	#end(task: string, how: string): void {
		const run = this.#runs.get(task);
		if (run === undefined) {
			return;
		}

		clearTimeout(run.timer);
		this.#runs.delete(task);
		this.#barred.set(task, Math.max(run.attempt, this.#barred.get(task) ?? 0));
		this.#endCount += 1;
		this.#ended.push([this.#endCount, task, run.attempt, how, '']);
		this.#note('end', how, run);
		this.#waiters.notifyAll();
	}

	#reply(body: Readonly<Record<string, unknown>>): Response {
		return Response.json({clock_ms: this.#clock, ...body});
	}

	#reject(reason: string): Response {
		return Response.json({clock_ms: this.#clock, reason}, {status: 409});
	}
}

async function never(): Promise<Response> {
	return new Promise(() => {
		// The answer is lost.
	});
}
