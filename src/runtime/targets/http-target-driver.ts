/** HTTP/1.1 client of targets; docs/INTERFACES.md describes the protocol. */
import {Buffer} from 'node:buffer';
import {errors, Pool, type Dispatcher} from 'undici';
import * as z from 'zod';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Disposable} from '../../base/disposable.js';
import {jsonValueSchema} from '../../base/json-value-schema.js';
import {parseJson} from '../../base/parse-json.js';
import type {TaskAnswer} from '../../base/task-answer.js';
import type {TaskId} from '../../base/task-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {TargetAddress} from './target-address.js';
import {TargetDriver} from './target-driver.js';
import type {TargetUsage} from './target-usage.js';
import type {TaskRequest} from './task-request.js';

/** Connections from one entry to one target; a target accepts 64 from all entries. */
const connectionsPerTarget = 8;
/** Idle connections are closed early, because the network may silently drop their state and lose later requests. One second is far below the time after which networks do. */
const idleTimeoutMilliseconds = 1000;
const connectTimeoutMilliseconds = 1000;
/** Time after the task's limit for the target to report that it stopped the task. */
const responseMarginMilliseconds = 250;
const controlTimeoutMilliseconds = 1000;

const taskResponseSchema = z.object({
	result: jsonValueSchema.optional(),
	failure: z.string().optional(),
	runMilliseconds: z.number().min(0).default(0),
});
const usageSchema = z.object({
	running: z.array(z.string().transform(id => id as TaskId)),
	lagMilliseconds: z.number().min(0),
});

type TaskVerdict = Verdict<TaskAnswer>;

/** Owns one connection pool per target. Requests are not pipelined. */
export class HttpTargetDriver extends TargetDriver implements Disposable {
	readonly #pools = new Map<string, Pool>();

	constructor(private readonly responseLimitBytes: number) {
		super();
	}

	override async run(target: TargetAddress, request: TaskRequest, token: CancellationToken): Promise<TaskVerdict> {
		const controller = new AbortController();
		const limit = setTimeout(() => {
			controller.abort();
		}, request.limitMilliseconds + responseMarginMilliseconds);
		const registration = token.onDidRequestCancellation(() => {
			controller.abort();
		});
		try {
			const response = await this.#getPool(target).request(toHttpRequest(request, controller.signal));
			return await this.#readVerdict(response, request);
		} catch (error) {
			if (!controller.signal.aborted) {
				return verdictOfError(error);
			}

			const isStopped = await this.#stop(target, request.taskId);
			return verdictOfAbort(isStopped, token.isCancellationRequested);
		} finally {
			clearTimeout(limit);
			registration.dispose();
		}
	}

	override async usage(target: TargetAddress): Promise<TargetUsage | undefined> {
		try {
			const response = await this.#getPool(target).request({
				method: 'GET',
				path: '/v1/usage',
				headersTimeout: controlTimeoutMilliseconds,
				bodyTimeout: controlTimeoutMilliseconds,
			});
			return usageSchema.parse(parseJson(await response.body.bytes()));
		} catch {
			return undefined;
		}
	}

	/** Closes the pools of all other addresses; requests in flight complete. */
	retain(addresses: ReadonlySet<string>): void {
		for (const [address, pool] of this.#pools) {
			if (!addresses.has(address)) {
				this.#pools.delete(address);
				void pool.close();
			}
		}
	}

	dispose(): void {
		for (const pool of this.#pools.values()) {
			void pool.destroy();
		}

		this.#pools.clear();
	}

	#getPool(target: TargetAddress): Pool {
		const existing = this.#pools.get(target.address);
		if (existing !== undefined) {
			return existing;
		}

		const pool = new Pool(`http://${target.address}`, {
			connections: connectionsPerTarget,
			pipelining: 1,
			keepAliveTimeout: idleTimeoutMilliseconds,
			keepAliveMaxTimeout: idleTimeoutMilliseconds,
			connect: {timeout: connectTimeoutMilliseconds},
		});
		this.#pools.set(target.address, pool);
		return pool;
	}

	async #readVerdict(response: Dispatcher.ResponseData, request: TaskRequest): Promise<TaskVerdict> {
		// A response with another task's id means that responses were mixed up; its connection can't be trusted any more.
		if (response.headers['task-id'] !== request.taskId) {
			// Destroying an incomplete body emits an error, which would end the process without a listener.
			response.body.on('error', () => undefined).destroy();
			return {kind: 'mayHaveRun', cause: 'answerUnusable', detail: 'the answer names another task'};
		}

		const bytes = await this.#readBody(response);
		if (bytes === undefined) {
			return {kind: 'mayHaveRun', cause: 'answerUnusable', detail: `the answer exceeds ${this.responseLimitBytes} bytes`};
		}

		if (response.headers['task-verdict'] === 'not-run') {
			return {kind: 'notRun', cause: 'targetRefused', detail: `the target refused with ${response.statusCode}`};
		}

		return parseResponse(bytes, response.statusCode);
	}

	async #readBody(response: Dispatcher.ResponseData): Promise<Uint8Array | undefined> {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
			bytes += chunk.length;
			if (bytes > this.responseLimitBytes) {
				return undefined;
			}

			chunks.push(chunk);
		}

		return Buffer.concat(chunks);
	}

	/** Requests that a target stop a task; returns whether the target confirmed that the task is no longer running. */
	async #stop(target: TargetAddress, taskId: TaskId): Promise<boolean> {
		try {
			const response = await this.#getPool(target).request({
				method: 'DELETE',
				path: `/v1/tasks/${encodeURIComponent(taskId)}`,
				headersTimeout: controlTimeoutMilliseconds,
				bodyTimeout: controlTimeoutMilliseconds,
			});
			await response.body.dump();
			return response.statusCode < 500;
		} catch {
			return false;
		}
	}
}

function toHttpRequest(request: TaskRequest, signal: AbortSignal): Dispatcher.RequestOptions {
	return {
		method: 'POST',
		path: '/v1/tasks',
		headers: {
			'content-type': 'application/json',
			'task-id': request.taskId,
			'task-profile': request.profile,
			'task-limit-milliseconds': String(Math.ceil(request.limitMilliseconds)),
		},
		body: JSON.stringify(request.payload),
		headersTimeout: 0,
		bodyTimeout: 0,
		signal,
	};
}

function parseResponse(bytes: Uint8Array, statusCode: number): TaskVerdict {
	let parsed;
	try {
		parsed = taskResponseSchema.parse(parseJson(bytes));
	} catch {
		return {kind: 'mayHaveRun', cause: 'answerUnusable', detail: `the answer with ${statusCode} isn't readable`};
	}

	const {runMilliseconds} = parsed;
	if (statusCode === 200 && parsed.result !== undefined) {
		return {kind: 'answered', answer: {kind: 'result', value: parsed.result, runMilliseconds}};
	}

	const detail = parsed.failure ?? `the target answered ${statusCode}`;
	return {kind: 'answered', answer: {kind: 'failure', detail, runMilliseconds}};
}

/** Only a failure to connect proves that the request was not sent. */
function verdictOfError(error: unknown): TaskVerdict {
	const {code} = error as NodeJS.ErrnoException;
	if (code === 'ECONNREFUSED' || error instanceof errors.ConnectTimeoutError) {
		return {kind: 'notRun', cause: 'targetRefused', detail: `no connection to the target: ${code}`};
	}

	return {kind: 'mayHaveRun', cause: 'connectionLost', detail: String(error)};
}

/** Without confirmation by the target, a stopped task may still be running. */
function verdictOfAbort(isStopped: boolean, isCancelled: boolean): TaskVerdict {
	if (!isCancelled) {
		return {kind: 'mayHaveRun', cause: 'taskTimeout', detail: 'no answer within the limit of the task'};
	}

	return isStopped
		? {kind: 'mayHaveRun', cause: 'stopped', detail: 'the task was stopped at the target'}
		: {kind: 'mayHaveRun', cause: 'connectionLost', detail: 'the target did not confirm that it stopped the task'};
}
