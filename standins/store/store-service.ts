/** A stand-in for the platform's store: topics, keyed records and groups in memory. */
import {Hono, type Context} from 'hono';
import type {z} from 'zod';
import {ConditionVariable} from '../condition-variable.js';
import {ConsumerGroup} from './consumer-group.js';
import {storeFaultSchema} from './store-fault.js';
import {TopicLog} from './topic-log.js';

const partitionCount = 24;
const keyedPrefix = 'keyed.';

type JoinBody = {readonly group: string; readonly member: string; readonly topics: readonly string[]; readonly ttl_ms: number; readonly generation: number};

/** Implements the store's HTTP interface; `injectFault` or `/faults` turns on faults. */
export class StoreService {
	/** Number of calls by path. */
	readonly calls = new Map<string, number>();
	readonly #topics = new Map<string, TopicLog>();
	readonly #groups = new Map<string, ConsumerGroup>();
	readonly #appended = new ConditionVariable();
	#status = 0;
	#delayMilliseconds = 0;
	#lostReplies = 0;
	#isGarbled = false;

	routes(): Hono {
		const routes = new Hono();
		routes.post('/faults', async context => {
			this.injectFault(storeFaultSchema.parse(await context.req.json()));
			return context.json({});
		});
		routes.use(async (context, next) => {
			this.calls.set(context.req.path, (this.calls.get(context.req.path) ?? 0) + 1);
			await delay(this.#delayMilliseconds);
			if (this.#status !== 0) {
				return context.body(null, this.#status as 503);
			}

			if (this.#isGarbled) {
				return context.text('{"unfinished');
			}

			await next();
		});
		routes.get('/log-newest', context => this.#readLatest(context));
		routes.get('/log-read', async context => this.#read(context));
		routes.post('/log-append', async context => this.#append(context));
		routes.post('/log-join', async context => this.#join(await context.req.json()));
		routes.get('/log-owners', context => this.#owners(context));
		routes.post('/log-leave', async context => this.#leave(await context.req.json()));
		return routes;
	}

	injectFault(fault: z.output<typeof storeFaultSchema>): void {
		this.#status = fault.status ?? this.#status;
		this.#delayMilliseconds = fault.delayMilliseconds ?? this.#delayMilliseconds;
		this.#lostReplies = fault.lostReplies ?? this.#lostReplies;
		this.#isGarbled = fault.isGarbled ?? this.#isGarbled;
		if (fault.dropHistoryOf !== undefined) {
			const log = this.#topicOf(fault.dropHistoryOf);
			log.dropBefore(log.endOffset);
		}
	}

	/** Appends a keyed record; an empty value deletes the key. */
	put(topic: string, key: string, value: string): void {
		const keyBytes = new TextEncoder().encode(key);
		const valueBytes = new TextEncoder().encode(value);
		const record = new Uint8Array(5 + keyBytes.length + valueBytes.length);
		new DataView(record.buffer).setUint32(0, 1 + keyBytes.length + valueBytes.length);
		record[4] = keyBytes.length;
		record.set(keyBytes, 5);
		record.set(valueBytes, 5 + keyBytes.length);
		this.#store(topic, record);
	}

	#store(topic: string, body: Uint8Array): void {
		this.#topicOf(topic).append(body);
		this.#appended.notifyAll();
	}

	#readLatest(context: Context): Response {
		const log = this.#topicOf(context.req.query('topic') ?? '');
		return context.json({items: log.latest, has_more: false, end: log.endOffset});
	}

	async #read(context: Context): Promise<Response> {
		const log = this.#topicOf(context.req.query('topic') ?? '');
		const from = Number(context.req.query('from'));
		if (from < log.firstOffset) {
			return context.json({first: log.firstOffset}, 410);
		}

		if (from >= log.endOffset) {
			await this.#appended.wait(Number(context.req.query('wait_ms') ?? 0));
		}

		return new Response(log.read(from) as Uint8Array<ArrayBuffer>);
	}

	async #append(context: Context): Promise<Response> {
		const topic = context.req.query('topic') ?? '';
		const log = this.#topicOf(topic);
		const at = context.req.query('at');
		if (at !== undefined && Number(at) !== log.endOffset) {
			return context.json({end: log.endOffset}, 412);
		}

		const offset = log.endOffset;
		this.#store(topic, new Uint8Array(await context.req.arrayBuffer()));
		return this.#replyUnlessLost(context.json({offset, end: log.endOffset}));
	}

	#join({group, member, topics, ttl_ms: timeToLive, generation}: JoinBody): Response | Promise<Response> {
		const known = this.#groups.get(group) ?? new ConsumerGroup(partitionCount);
		this.#groups.set(group, known);
		const partitions = known.join(member, timeToLive, generation, performance.now());
		return this.#replyUnlessLost(Response.json({generation: known.generation, ttl_ms: timeToLive, parts: partitions.map(partition => [topics[0], partition, 0])}));
	}

	#owners(context: Context): Response {
		const name = context.req.query('group') ?? '';
		const group = this.#groups.get(name);
		return context.json({generation: group?.generation ?? 0, parts: (group?.owners ?? []).map(([partition, member]) => [name, partition, member, 0])});
	}

	#leave({group, member}: {readonly group: string; readonly member: string}): Response {
		this.#groups.get(group)?.leave(member);
		return Response.json({});
	}

	#replyUnlessLost(reply: Response): Response | Promise<Response> {
		if (this.#lostReplies === 0) {
			return reply;
		}

		this.#lostReplies -= 1;
		return new Promise(() => {
			// Simulates a lost response.
		});
	}

	#topicOf(topic: string): TopicLog {
		const known = this.#topics.get(topic);
		if (known !== undefined) {
			return known;
		}

		const log = new TopicLog(topic.startsWith(keyedPrefix));
		this.#topics.set(topic, log);
		return log;
	}
}

async function delay(milliseconds: number): Promise<void> {
	if (milliseconds > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, milliseconds);
		});
	}
}
