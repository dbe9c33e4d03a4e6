/** A stand-in for the platform's log service, with fault injection. */
import {Hono} from 'hono';
import {z} from 'zod';
import {ConditionVariable} from '../condition-variable.js';

const readLimitRecords = 1000;

const faultSchema = z.strictObject({
	/** Responds to every request with 503. */
	isDown: z.boolean().optional(),
	delayMilliseconds: z.int().min(0).optional(),
	/** Number of further appends that take effect but get no response. */
	lostReplies: z.int().min(0).optional(),
	/** Maximum number of records kept per stream; older ones are trimmed. */
	keptRecords: z.int().min(0).optional(),
	/** Deletes the records from this offset on, like restoring an older backup. */
	truncateTo: z.int().min(0).optional(),
});

type StreamState = {firstOffset: number; records: Array<{offset: number; body: unknown}>};

/** Keeps streams in memory; `/faults` injects faults, `/counts` returns the number of calls. */
export class LogService {
	readonly #streams = new Map<string, StreamState>();
	readonly #appended = new ConditionVariable();
	#isDown = false;
	#delayMilliseconds = 0;
	#lostReplies = 0;
	#keptRecords = Number.POSITIVE_INFINITY;
	#appends = 0;
	#reads = 0;

	routes(): Hono {
		const routes = new Hono();
		routes.post('/streams/:name/records', async context => this.#append(context.req.param('name'), await context.req.json()));
		routes.get('/streams/:name/records', async context => this.#read(context.req.param('name'), Number(context.req.query('from') ?? 0), Number(context.req.query('wait') ?? 0)));
		routes.post('/faults', async context => {
			const fault = faultSchema.parse(await context.req.json());
			this.injectFault(fault);
			return context.json({status: 'done'});
		});
		routes.get('/counts', context => context.json({appends: this.#appends, reads: this.#reads}));
		return routes;
	}

	/** Turns faults on and off; absent fields stay unchanged. */
	injectFault(fault: z.output<typeof faultSchema>): void {
		this.#isDown = fault.isDown ?? this.#isDown;
		this.#delayMilliseconds = fault.delayMilliseconds ?? this.#delayMilliseconds;
		this.#lostReplies = fault.lostReplies ?? this.#lostReplies;
		this.#keptRecords = fault.keptRecords ?? this.#keptRecords;
		for (const stream of this.#streams.values()) {
			if (fault.truncateTo !== undefined) {
				stream.records = stream.records.filter(record => record.offset < fault.truncateTo!);
			}

			this.#trim(stream);
		}
	}

	async #append(name: string, body: unknown): Promise<Response> {
		await this.#delay();
		if (this.#isDown) {
			return Response.json({error: 'down'}, {status: 503});
		}

		this.#appends += 1;
		const stream = this.#streamOf(name);
		const offset = nextOffsetOf(stream);
		stream.records.push({offset, body});
		this.#trim(stream);
		this.#appended.notifyAll();

		if (this.#lostReplies > 0) {
			this.#lostReplies -= 1;
			return new Promise(() => {
				// Simulates a lost response.
			});
		}

		return Response.json({offset}, {status: 201});
	}

	async #read(name: string, from: number, wait: number): Promise<Response> {
		await this.#delay();
		this.#reads += 1;
		const stream = this.#streamOf(name);
		if (!this.#isDown && from >= nextOffsetOf(stream) && wait > 0) {
			await this.#appended.wait(wait);
		}

		if (this.#isDown) {
			return Response.json({error: 'down'}, {status: 503});
		}

		const records = stream.records.filter(record => record.offset >= from).slice(0, readLimitRecords);
		return Response.json({records, firstOffset: stream.firstOffset, nextOffset: nextOffsetOf(stream)});
	}

	async #delay(): Promise<void> {
		if (this.#delayMilliseconds > 0) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, this.#delayMilliseconds);
			});
		}
	}

	#trim(stream: StreamState): void {
		while (stream.records.length > this.#keptRecords) {
			stream.firstOffset = stream.records.shift()!.offset + 1;
		}
	}

	#streamOf(name: string): StreamState {
		const known = this.#streams.get(name);
		if (known !== undefined) {
			return known;
		}

		const stream: StreamState = {firstOffset: 0, records: []};
		this.#streams.set(name, stream);
		return stream;
	}
}

function nextOffsetOf(stream: StreamState): number {
	return (stream.records.at(-1)?.offset ?? stream.firstOffset - 1) + 1;
}
