/** Keeps the list of targets up to date, by reading it or by asking an entry that does. */
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

const retryMilliseconds = 150;
/** Also where it's asked for a whole list again and again. */
const shortestGapMilliseconds = 100;
const undeterminedMilliseconds = 20;
/** Of the time after which a target that announced its leaving gets no new tasks: the pause of an entry that reads for itself. */
const pollShare = 1 / 3;
/** From one read for others to the next. */
const serviceShare = 1 / 4;
/**
 * How long an answer is waited for. A reader that fails just after an answer leaves this, a read that fails, and one more
 * until the list is known anew: some two thirds of that time.
 */
const answerShare = 0.35;

/** What a shared list works with. */
type TargetListReplicaParts = {
	readonly source: ListSource;
	readonly table: TargetTable;
	readonly readerGroup: ReaderGroup;
	/** A target that has announced its leaving gets no new tasks after so long. */
	readonly drainMilliseconds: number;
	readonly clock: Clock;
	readonly journal: Journal;
};

/**
 * A few entries of a zone read; the others ask one of them, again after each answer, and read for themselves while no answer
 * comes. Nothing is agreed on: an entry that is asked reads, and an entry that isn't answered in time by its own clock reads.
 */
export class TargetListReplica implements Disposable {
	readonly #list: ReplicatedList;
	readonly #requests: PendingListRequests;
	readonly #preferred: PreferredReader;
	readonly #wait: InterruptibleWait;
	readonly #store = new DisposableStore();
	#isDisposed = false;
	#lastRequestId = 0;
	/** The latest question, until it's answered. */
	#outstanding: {readonly reader: MemberId; readonly requestId: number} | undefined;
	#readAt = Number.NEGATIVE_INFINITY;
	/** Where the list comes from. */
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
				this.#recordOrigin(undefined, 'it reads for others, or alone');
				await this.#readOnce();
			} else if (role === 'follower') {
				await this.#follow();
			} else {
				await this.#wait.wait(undeterminedMilliseconds);
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

	/** Until the next read for others may begin. */
	get #minimumDelay(): number {
		return this.#readAt + shortestGapMilliseconds - this.parts.clock.now();
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

	/** Asks a reader once; without an answer in time reads as one that is alone would. */
	async #follow(): Promise<void> {
		const {readerGroup, drainMilliseconds} = this.parts;
		const reader = this.#preferred.choose(readerGroup.readers);
		if (reader === undefined) {
			const isRead = await this.#readDirectly('no reader is there');
			await this.#wait.wait(Math.round(drainMilliseconds * (isRead ? pollShare : answerShare)));
			return;
		}

		this.#lastRequestId += 1;
		const requestId = this.#lastRequestId;
		this.#outstanding = {reader, requestId};
		readerGroup.sendRequest(reader, {requestId, from: this.#list.next});
		await this.#wait.wait(Math.round(drainMilliseconds * answerShare));
		if (this.#isAnswered(requestId) || this.#requests.isServing || this.#isDisposed) {
			return;
		}

		// While the store doesn't answer here either, the reader isn't to blame.
		if (await this.#readDirectly('no answer in time') && !this.#isAnswered(requestId)) {
			this.#preferred.exclude(reader);
		}
	}

	#isAnswered(requestId: number): boolean {
		return this.#outstanding?.requestId !== requestId;
	}

	/** Whether one of two reads succeeded. After that a reader is asked again: the store may be away, or busy with reads. */
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
		const outcome = next === undefined ? await this.#readNewest() : await this.#readSince(next);
		if (outcome === 'whole' && this.#list.isComplete) {
			this.#requests.answer(pending, this.#list);
		}

		return outcome;
	}

	async #readNewest(): Promise<ReadOutcome> {
		const newest = await this.parts.source.readLatest();
		if (newest === undefined || this.#isDisposed) {
			return 'failed';
		}

		// A passage that came meanwhile may be newer.
		if ((this.#list.next ?? 0) <= newest.end) {
			this.#list.applySnapshot(newest.values, newest.end);
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
			this.#recordOrigin(from, 'it answered');
			this.#wait.interrupt();
		}
	}

	#applyUpdate(from: MemberId, update: ListUpdate, isLate: boolean): boolean {
		try {
			return this.#list.applyUpdate(update, isLate);
		} catch (error) {
			this.parts.journal.record('poolMessageUnreadable', {member: from, detail: `the list of targets: ${(error as Error).message}`});
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

/** `partial`: there is more to read at once. */
type ReadOutcome = 'whole' | 'partial' | 'failed';
