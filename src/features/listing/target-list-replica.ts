/** Keeps the target list up to date, from the store or from a reader in the zone. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import {PendingListRequests} from './pending-list-requests.js';
import {PreferredReader} from './preferred-reader.js';
import {ReplicatedList} from './replicated-list.js';
import type {TargetTable} from './target-table.js';
import type {ListUpdate} from './list-update.js';
import type {ListRequest} from './list-request.js';
import type {ListSource} from './list-source.js';
import {InterruptibleWait} from './interruptible-wait.js';
import type {ReaderGroup} from './reader-group.js';

/** Delay after a failed read from the store. */
const retryMilliseconds = 150;
/** Shortest interval between reads for others, which also limits requests for the whole list. */
const minimumReadIntervalMilliseconds = 100;
/** Interval between checks while the role is undetermined. */
const roleCheckMilliseconds = 20;
/** The interval between reads of an entry that reads for itself, as a share of the drain time. */
const pollShare = 1 / 3;
/** The interval between reads for others, as a share of the drain time. */
const serviceShare = 1 / 4;
/**
 * The timeout of a request, as a share of the drain time. If a reader fails just after an answer, the drain time still covers the
 * timeout, one failed read from the store and a second read.
 */
const requestTimeoutShare = 0.35;

/** Dependencies of a target list replica. */
type TargetListReplicaParts = {
	readonly source: ListSource;
	readonly table: TargetTable;
	readonly readerGroup: ReaderGroup;
	/** The time within which every entry must learn that a target is draining and send it no new tasks. */
	readonly drainMilliseconds: number;
	readonly clock: Clock;
	readonly journal: Journal;
};

/**
 * A few entries of a zone read from the store. The others send one of them a new request after each answer, and read from the store
 * themselves if the answer times out. No agreement is needed: any entry that gets a request reads.
 */
export class TargetListReplica implements Disposable {
	readonly #list: ReplicatedList;
	readonly #requests: PendingListRequests;
	readonly #preferred: PreferredReader;
	readonly #wait: InterruptibleWait;
	readonly #store = new DisposableStore();
	#isDisposed = false;
	#lastRequestId = 0;
	/** The latest request until it is answered. */
	#outstanding: {readonly reader: MemberId; readonly requestId: number} | undefined;
	#readAt = Number.NEGATIVE_INFINITY;
	/** The reader that the list comes from; undefined for the store. */
	#origin: MemberId | undefined;

	constructor(private readonly parts: TargetListReplicaParts) {
		const {table, readerGroup, clock} = parts;
		this.#list = new ReplicatedList(table);
		this.#requests = new PendingListRequests(readerGroup, clock);
		this.#preferred = new PreferredReader(clock);
		this.#wait = this.#store.add(new InterruptibleWait(clock));
		this.#store.add(readerGroup.onDidReceiveRequest(({from, request}) => {
			this.#handleRequest(from, request);
		}));
		this.#store.add(readerGroup.onDidReceiveUpdate(({from, update}) => {
			this.#handleUpdate(from, update);
		}));
	}

	start(): void {
		void this.#run();
	}

	dispose(): void {
		this.#isDisposed = true;
		this.#store.dispose();
	}

	async #run(): Promise<void> {
		while (!this.#isDisposed) {
			const {role} = this.parts.readerGroup;
			if (this.#requests.isServing || role === 'alone' || role === 'reader') {
				this.#recordOrigin(undefined, 'reads for itself or for others');
				await this.#readOnce();
			} else if (role === 'follower') {
				await this.#follow();
			} else {
				await this.#wait.wait(roleCheckMilliseconds);
			}
		}
	}

	async #readOnce(): Promise<void> {
		while (this.#requests.isServing && this.#minimumDelay > 0 && !this.#isDisposed) {
			await this.#wait.wait(this.#minimumDelay);
		}

		const outcome = await this.#read();
		await this.#wait.wait(this.#delayAfter(outcome));
	}

	/** Milliseconds until the next read for others may begin. */
	get #minimumDelay(): number {
		return this.#readAt + minimumReadIntervalMilliseconds - this.parts.clock.now();
	}

	#delayAfter(outcome: ReadOutcome): number {
		const {drainMilliseconds, clock} = this.parts;
		if (outcome === 'failed') {
			return retryMilliseconds;
		}

		if (outcome === 'partial') {
			return 0;
		}

		return this.#requests.isServing
			? Math.max(0, this.#readAt + Math.round(drainMilliseconds * serviceShare) - clock.now())
			: Math.round(drainMilliseconds * pollShare);
	}

	/** Sends one request to a reader; reads from the store if there is no answer in time. */
	async #follow(): Promise<void> {
		const {readerGroup, drainMilliseconds} = this.parts;
		const reader = this.#preferred.choose(readerGroup.readers);
		if (reader === undefined) {
			const isRead = await this.#readDirectly('no reader available');
			await this.#wait.wait(Math.round(drainMilliseconds * (isRead ? pollShare : requestTimeoutShare)));
			return;
		}

		this.#lastRequestId += 1;
		const requestId = this.#lastRequestId;
		this.#outstanding = {reader, requestId};
		readerGroup.sendRequest(reader, {requestId, from: this.#list.next});
		await this.#wait.wait(Math.round(drainMilliseconds * requestTimeoutShare));
		if (this.#isAnswered(requestId) || this.#requests.isServing || this.#isDisposed) {
			return;
		}

		// If the store doesn't answer this entry either, the reader isn't at fault.
		if (await this.#readDirectly('request timed out') && !this.#isAnswered(requestId)) {
			this.#preferred.exclude(reader);
		}
	}

	#isAnswered(requestId: number): boolean {
		return this.#outstanding?.requestId !== requestId;
	}

	/** Reads from the store, with one retry; returns whether a read succeeded. After a failure the next request goes to a reader again. */
	async #readDirectly(cause: string): Promise<boolean> {
		this.#recordOrigin(undefined, cause);
		if (await this.#read() !== 'failed') {
			return true;
		}

		await this.#wait.wait(retryMilliseconds);
		return await this.#read() !== 'failed';
	}

	async #read(): Promise<ReadOutcome> {
		this.#readAt = this.parts.clock.now();
		const {pending} = this.#requests;
		const {next} = this.#list;
		const outcome = next === undefined ? await this.#readLatest() : await this.#readSince(next);
		if (outcome === 'whole' && this.#list.isComplete) {
			this.#requests.answer(pending, this.#list);
		}

		return outcome;
	}

	async #readLatest(): Promise<ReadOutcome> {
		const latest = await this.parts.source.readLatest();
		if (latest === undefined || this.#isDisposed) {
			return 'failed';
		}

		// An update that arrived in the meantime may be newer.
		if ((this.#list.next ?? 0) <= latest.end) {
			this.#list.applySnapshot(latest.values, latest.end);
		}

		return this.#requests.isServing ? 'partial' : 'whole';
	}

	async #readSince(from: number): Promise<ReadOutcome> {
		const answer = await this.parts.source.readFrom(from);
		if (this.#isDisposed) {
			return 'failed';
		}

		if (answer.kind !== 'records') {
			if (answer.kind === 'trimmed') {
				this.#list.invalidate(from);
			}

			return answer.kind === 'trimmed' ? 'partial' : 'failed';
		}

		this.#list.applyRecords(answer.records, answer.next, !answer.hasMore);
		return answer.hasMore ? 'partial' : 'whole';
	}

	#handleRequest(from: MemberId, request: ListRequest): void {
		const isFirst = !this.#requests.isServing;
		this.#requests.add(from, request);
		if (isFirst || request.from === undefined) {
			this.#wait.interrupt();
		}
	}

	#handleUpdate(from: MemberId, update: ListUpdate): void {
		const isExpected = this.#outstanding?.reader === from && this.#outstanding.requestId === update.requestId;
		if (this.#applyUpdate(from, update, !isExpected) && isExpected) {
			this.#outstanding = undefined;
			this.#recordOrigin(from, 'reader answered');
			this.#wait.interrupt();
		}
	}

	#applyUpdate(from: MemberId, update: ListUpdate, isLate: boolean): boolean {
		try {
			return this.#list.applyUpdate(update, isLate);
		} catch (error) {
			this.parts.journal.record('poolMessageUnreadable', {member: from, detail: `target list: ${(error as Error).message}`});
			return false;
		}
	}

	#recordOrigin(origin: MemberId | undefined, cause: string): void {
		if (origin !== this.#origin) {
			this.#origin = origin;
			this.parts.journal.record('listOriginChanged', {origin: origin ?? 'store', cause});
		}
	}
}

/** `partial`: the next read should follow immediately. */
type ReadOutcome = 'whole' | 'partial' | 'failed';
