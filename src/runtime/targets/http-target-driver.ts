/** Targets over HTTP/1.1; docs/INTERFACES.md gives the protocol. */
import {Buffer} from 'node:buffer';
import {errors, Pool, type Dispatcher} from 'undici';
import * as z from 'zod';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Disposable} from '../../base/disposable.js';
import {jsonValueSchema} from '../../base/json-value-schema.js';
import type {TaskAnswer} from '../../base/task-answer.js';
import type {TaskId} from '../../base/task-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {TargetAddress} from './target-address.js';
import {TargetDriver} from './target-driver.js';
import type {TargetUsage} from './target-usage.js';
import type {TaskRequest} from './task-request.js';

/** At most so many connections from one entry to one target; all entries together stay under the target's own 64. */
const connectionsPerTarget = 8;
/**
 * A connection that was idle for longer is closed, not used again. A network that forgot an idle connection swallows
 * what is sent on it; one second is far below the time after which networks forget.
 */
const idleMilliseconds = 1000;
const connectTimeoutMilliseconds = 1000;
/** What a target may take beyond the task's limit to say that it stopped it. */
const answerMarginMilliseconds = 250;
const usageTimeoutMilliseconds = 1000;

const answerSchema = z.object({
	result: jsonValueSchema.optional(),
	failure: z.string().optional(),
	runMilliseconds: z.number().min(0).default(0),
});
const usageSchema = z.object({
	running: z.array(z.string().transform(id => id as TaskId)),
	lagMilliseconds: z.number().min(0),
});

type TaskVerdict = Verdict<TaskAnswer>;

/** Owns one connection pool for each target; a request has its connection to itself until its answer has ended. */
export class HttpTargetDriver extends TargetDriver implements Disposable {
	readonly #pools = new Map<string, Pool>();

	constructor(private readonly answerBytes: number) {
		super();
	}

	override async run(target: TargetAddress, order: TaskRequest, token: CancellationToken): Promise<TaskVerdict> {
		const controller = new AbortController();
		const limit = setTimeout(() => {
			controller.abort();
		}, order.limitMilliseconds + answerMarginMilliseconds);
		const registration = token.onDidRequestCancellation(() => {
			controller.abort();
		});
		try {
			const response = await this.#poolOf(target).request(requestOf(order, controller.signal));
			return await this.#verdictOf(response, order);
		} catch (error) {
			if (!controller.signal.aborted) {
				return verdictOfError(error);
			}

			const isStopped = await this.#stop(target, order.taskId);
			return verdictOfAbort(isStopped, token.isCancellationRequested);
		} finally {
			clearTimeout(limit);
			registration.dispose();
		}
	}

	override async usage(target: TargetAddress): Promise<TargetUsage | undefined> {
		try {
			const response = await this.#poolOf(target).request({
				method: 'GET',
				path: '/v1/usage',
				headersTimeout: usageTimeoutMilliseconds,
				bodyTimeout: usageTimeoutMilliseconds,
			});
			return usageSchema.parse(await response.body.json());
		} catch {
			return undefined;
		}
	}

	/** Closes the pools of targets that are no longer listed. */
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

	#poolOf(target: TargetAddress): Pool {
		const known = this.#pools.get(target.address);
		if (known !== undefined) {
			return known;
		}

		const pool = new Pool(`http://${target.address}`, {
			connections: connectionsPerTarget,
			pipelining: 1,
			keepAliveTimeout: idleMilliseconds,
			keepAliveMaxTimeout: idleMilliseconds,
			connect: {timeout: connectTimeoutMilliseconds},
		});
		this.#pools.set(target.address, pool);
		return pool;
	}

	async #verdictOf(response: Dispatcher.ResponseData, order: TaskRequest): Promise<TaskVerdict> {
		// An answer that carries another task's id was crossed with it: it's dropped with its connection, since
		// whatever follows on that connection can't be trusted either.
		if (response.headers['task-id'] !== order.taskId) {
			// Destroying a body that's still arriving reports an abort, which nobody else listens to and would end the process.
			response.body.on('error', () => undefined).destroy();
			return {kind: 'mayHaveRun', cause: 'answerUnusable', detail: 'the answer names another task'};
		}

		const text = await this.#textOf(response);
		if (text === undefined) {
			return {kind: 'mayHaveRun', cause: 'answerUnusable', detail: `the answer exceeds ${this.answerBytes} bytes`};
		}

		if (response.headers['task-verdict'] === 'not-run') {
			return {kind: 'notRun', cause: 'targetRefused', detail: `the target refused with ${response.statusCode}`};
		}

		return answerOf(text, response.statusCode);
	}

	async #textOf(response: Dispatcher.ResponseData): Promise<string | undefined> {
		const chunks: Uint8Array[] = [];
		let bytes = 0;
		for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
			bytes += chunk.length;
			if (bytes > this.answerBytes) {
				return undefined;
			}

			chunks.push(chunk);
		}

		return new TextDecoder().decode(Buffer.concat(chunks));
	}

	/** Tells a target to stop a task; returns whether the target said that it doesn't run it any more. */
	async #stop(target: TargetAddress, taskId: TaskId): Promise<boolean> {
		try {
			const response = await this.#poolOf(target).request({
				method: 'DELETE',
				path: `/v1/tasks/${encodeURIComponent(taskId)}`,
				headersTimeout: usageTimeoutMilliseconds,
				bodyTimeout: usageTimeoutMilliseconds,
			});
			await response.body.dump();
			return response.statusCode < 500;
		} catch {
			return false;
		}
	}
}

function requestOf(order: TaskRequest, signal: AbortSignal): Dispatcher.RequestOptions {
	return {
		method: 'POST',
		path: '/v1/tasks',
		headers: {
			'content-type': 'application/json',
			'task-id': order.taskId,
			'task-profile': order.profile,
			'task-limit-milliseconds': String(Math.ceil(order.limitMilliseconds)),
		},
		body: JSON.stringify(order.payload),
		headersTimeout: 0,
		bodyTimeout: 0,
		signal,
	};
}

function answerOf(text: string, statusCode: number): TaskVerdict {
	let parsed;
	try {
		parsed = answerSchema.parse(JSON.parse(text));
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

/** Only a connection that was never made proves that nothing was sent. */
function verdictOfError(error: unknown): TaskVerdict {
	const {code} = error as NodeJS.ErrnoException;
	if (code === 'ECONNREFUSED' || error instanceof errors.ConnectTimeoutError) {
		return {kind: 'notRun', cause: 'targetRefused', detail: `no connection to the target: ${code}`};
	}

	return {kind: 'mayHaveRun', cause: 'connectionLost', detail: String(error)};
}

/** A task that the target didn't confirm to have stopped may still run there. */
function verdictOfAbort(isStopped: boolean, isCancelled: boolean): TaskVerdict {
	if (!isCancelled) {
		return {kind: 'mayHaveRun', cause: 'taskTimeout', detail: 'no answer within the limit of the task'};
	}

	return isStopped
		? {kind: 'mayHaveRun', cause: 'stopped', detail: 'the task was stopped at the target'}
		: {kind: 'mayHaveRun', cause: 'connectionLost', detail: 'the target did not confirm that it stopped the task'};
}
