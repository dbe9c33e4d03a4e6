/** HTTP client of the platform's instance list; docs/INTERFACES.md describes the protocol. */
import {request} from 'undici';
import * as z from 'zod';
import {abortSignalOf} from '../../base/abort-signal-of.js';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import {CancellationSource} from '../../base/cancellation-source.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {InstanceId} from '../../base/instance-id.js';
import {parseJson} from '../../base/parse-json.js';
import {wait} from '../../base/wait.js';
import type {Journal} from '../journal/journal.js';
import type {Instance} from './instance.js';
import {InstanceList} from './instance-list.js';
import type {InstanceSnapshot} from './instance-snapshot.js';

const pollIntervalMilliseconds = 2000;
const requestTimeoutMilliseconds = 2000;

const instanceSchema = z.object({
	id: z.string().min(1).transform(id => id as InstanceId),
	kind: z.enum(['entry', 'target']),
	zone: z.string().min(1).transform(zone => zone as AvailabilityZone),
	address: z.string().regex(/^[\d.]+:\d+$/v),
	peerAddress: z.string().regex(/^[\d.]+:\d+$/v).optional(),
	state: z.enum(['live', 'leaving']),
	rack: z.string().optional(),
	slots: z.int().min(1).optional(),
	memoryMegabytes: z.number().positive().optional(),
	accelerators: z.int().min(0).optional(),
	labels: z.array(z.string()).optional(),
});
const listSchema = z.object({instances: z.array(z.unknown())});

/** Polls `URL/instances` every two seconds; invalid rows are logged and skipped. */
export class HttpInstanceList extends InstanceList implements Disposable {
	readonly #emitter = new Emitter<InstanceSnapshot>();
	readonly #cancellation = new CancellationSource();
	#last: InstanceSnapshot | undefined;
	#failures = 0;

	constructor(private readonly baseUrl: string, private readonly clock: Clock, private readonly journal: Journal) {
		super();
	}

	override get onDidRead() {
		return this.#emitter.event;
	}

	override get last(): InstanceSnapshot | undefined {
		return this.#last;
	}

	start(): void {
		void this.#poll();
	}

	dispose(): void {
		this.#cancellation.cancel();
		this.#emitter.dispose();
	}

	async #poll(): Promise<void> {
		while (!this.#cancellation.token.isCancellationRequested) {
			await this.#fetch();
			await wait(this.clock, pollIntervalMilliseconds);
		}
	}

	async #fetch(): Promise<void> {
		const readAt = this.clock.now();
		try {
			const signal = abortSignalOf(requestTimeoutMilliseconds, this.#cancellation.token);
			const response = await request(`${this.baseUrl}/instances`, {signal});
			const rows = listSchema.parse(parseJson(await response.body.bytes())).instances;
			this.#handleSnapshot({readAt, instances: rows.flatMap(row => this.#parseInstance(row))});
		} catch (error) {
			this.#handleFailure(error);
		}
	}

	#handleSnapshot(snapshot: InstanceSnapshot): void {
		if (this.#failures > 0) {
			this.journal.record('instanceListBack', {failures: this.#failures});
			this.#failures = 0;
		}

		this.#last = snapshot;
		this.#emitter.fire(snapshot);
	}

	#parseInstance(row: unknown): readonly Instance[] {
		const checked = instanceSchema.safeParse(row);
		if (checked.success) {
			return [checked.data];
		}

		this.journal.record('instanceUnreadable', {row: JSON.stringify(row)});
		return [];
	}

	#handleFailure(error: unknown): void {
		if (this.#cancellation.token.isCancellationRequested) {
			return;
		}

		this.#failures += 1;
		if (this.#failures === 1) {
			this.journal.record('instanceListAway', {detail: String(error)});
		}
	}
}
