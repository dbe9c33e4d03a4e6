/** Keeps the list of targets up to date, by reading it or by asking an entry that does. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import {AskingEntries} from './asking-entries.js';
import {FollowedReader} from './followed-reader.js';
import {KnownList} from './known-list.js';
import type {ListKeeper} from './list-keeper.js';
import type {ListPassage} from './list-passage.js';
import type {ListQuestion} from './list-question.js';
import type {ListSource} from './list-source.js';
import {Pause} from './pause.js';
import type {ReadingCircle} from './reading-circle.js';

const retryMilliseconds = 150;
/** Also where it's asked for a whole list again and again. */
const shortestGapMilliseconds = 100;
const unsettledMilliseconds = 20;
/** Of the time after which a target that announced its leaving gets no new tasks: the pause of an entry that reads for itself. */
const pauseShare = 1 / 3;
/** From one read for others to the next. */
const serviceShare = 1 / 4;
/**
 * How long an answer is waited for. A reader that fails just after an answer leaves this, a read that fails, and one more
 * until the list is known anew: some two thirds of that time.
 */
const answerShare = 0.35;

/** What a shared list works with. */
type SharedListParts = {
	readonly source: ListSource;
	readonly keeper: ListKeeper;
	readonly circle: ReadingCircle;
	/** A target that has announced its leaving gets no new tasks after so long. */
	readonly drainMilliseconds: number;
	readonly clock: Clock;
	readonly journal: Journal;
};

/**
 * A few entries of a zone read; the others ask one of them, again after each answer, and read for themselves while no answer
 * comes. Nothing is agreed on: an entry that is asked reads, and an entry that isn't answered in time by its own clock reads.
 */
export class SharedList implements Disposable {
	readonly #list: KnownList;
	readonly #asking: AskingEntries;
	readonly #followed: FollowedReader;
	readonly #pause: Pause;
	readonly #store = new DisposableStore();
	#isDisposed = false;
	#questions = 0;
	/** The latest question, until it's answered. */
	#open: {readonly reader: MemberId; readonly question: number} | undefined;
	#readAt = Number.NEGATIVE_INFINITY;
	/** Where the list comes from. */
	#origin: MemberId | undefined;

	constructor(private readonly parts: SharedListParts) {
		const {keeper, circle, clock} = parts;
		this.#list = new KnownList(keeper);
		this.#asking = new AskingEntries(circle, clock);
		this.#followed = new FollowedReader(clock);
		this.#pause = this.#store.add(new Pause(clock));
		this.#store.add(circle.onDidAsk(({from, question}) => {
			this.#takeQuestion(from, question);
		}));
		this.#store.add(circle.onDidAnswer(({from, passage}) => {
			this.#takeAnswer(from, passage);
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
			const {role} = this.parts.circle;
			if (this.#asking.isServed || role === 'alone' || role === 'reader') {
				this.#noteOrigin(undefined, 'it reads for others, or alone');
				await this.#readInTurn();
			} else if (role === 'follower') {
				await this.#follow();
			} else {
				await this.#pause.wait(unsettledMilliseconds);
			}
		}
	}

	async #readInTurn(): Promise<void> {
		while (this.#asking.isServed && this.#gap > 0 && !this.#isDisposed) {
			await this.#pause.wait(this.#gap);
		}

		const outcome = await this.#read();
		await this.#pause.wait(this.#pauseAfter(outcome));
	}

	/** Until the next read for others may begin. */
	get #gap(): number {
		return this.#readAt + shortestGapMilliseconds - this.parts.clock.now();
	}

	#pauseAfter(outcome: ReadOutcome): number {
		const {drainMilliseconds, clock} = this.parts;
		if (outcome === 'failed') {
			return retryMilliseconds;
		}

		if (outcome === 'partial') {
			return 0;
		}

		return this.#asking.isServed
			? Math.max(0, this.#readAt + Math.round(drainMilliseconds * serviceShare) - clock.now())
			: Math.round(drainMilliseconds * pauseShare);
	}

	/** Asks a reader once; without an answer in time reads as one that is alone would. */
	async #follow(): Promise<void> {
		const {circle, drainMilliseconds} = this.parts;
		const reader = this.#followed.choose(circle.readers);
		if (reader === undefined) {
			const isRead = await this.#readUnfed('no reader is there');
			await this.#pause.wait(Math.round(drainMilliseconds * (isRead ? pauseShare : answerShare)));
			return;
		}

		this.#questions += 1;
		const question = this.#questions;
		this.#open = {reader, question};
		circle.ask(reader, {question, from: this.#list.next});
		await this.#pause.wait(Math.round(drainMilliseconds * answerShare));
		if (this.#isAnswered(question) || this.#asking.isServed || this.#isDisposed) {
			return;
		}

		// While the store doesn't answer here either, the reader isn't to blame.
		if (await this.#readUnfed('no answer in time') && !this.#isAnswered(question)) {
			this.#followed.setAside(reader);
		}
	}

	#isAnswered(question: number): boolean {
		return this.#open?.question !== question;
	}

	/** Whether one of two reads succeeded. After that a reader is asked again: the store may be away, or busy with reads. */
	async #readUnfed(cause: string): Promise<boolean> {
		this.#noteOrigin(undefined, cause);
		if (await this.#read() !== 'failed') {
			return true;
		}

		await this.#pause.wait(retryMilliseconds);
		return await this.#read() !== 'failed';
	}

	async #read(): Promise<ReadOutcome> {
		this.#readAt = this.parts.clock.now();
		const {waiting} = this.#asking;
		const {next} = this.#list;
		const outcome = next === undefined ? await this.#readNewest() : await this.#readSince(next);
		if (outcome === 'whole' && this.#list.isComplete) {
			this.#asking.answer(waiting, this.#list);
		}

		return outcome;
	}

	async #readNewest(): Promise<ReadOutcome> {
		const newest = await this.parts.source.newest();
		if (newest === undefined || this.#isDisposed) {
			return 'failed';
		}

		// A passage that came meanwhile may be newer.
		if ((this.#list.next ?? 0) <= newest.end) {
			this.#list.takeNewest(newest.values, newest.end);
		}

		return this.#asking.isServed ? 'partial' : 'whole';
	}

	async #readSince(from: number): Promise<ReadOutcome> {
		const answer = await this.parts.source.read(from);
		if (this.#isDisposed) {
			return 'failed';
		}

		if (answer.kind !== 'records') {
			if (answer.kind === 'trimmed') {
				this.#list.forget(from);
			}

			return answer.kind === 'trimmed' ? 'partial' : 'failed';
		}

		this.#list.takeRead(answer.records, answer.next, !answer.isBehind);
		return answer.isBehind ? 'partial' : 'whole';
	}

	#takeQuestion(from: MemberId, question: ListQuestion): void {
		const isFirst = !this.#asking.isServed;
		this.#asking.add(from, question);
		if (isFirst || question.from === undefined) {
			this.#pause.cut();
		}
	}

	#takeAnswer(from: MemberId, passage: ListPassage): void {
		const isExpected = this.#open?.reader === from && this.#open.question === passage.question;
		if (this.#takePassage(from, passage, !isExpected) && isExpected) {
			this.#open = undefined;
			this.#noteOrigin(from, 'it answered');
			this.#pause.cut();
		}
	}

	#takePassage(from: MemberId, passage: ListPassage, isLate: boolean): boolean {
		try {
			return this.#list.takePassage(passage, isLate);
		} catch (error) {
			this.parts.journal.record('poolMessageUnreadable', {member: from, detail: `the list of targets: ${(error as Error).message}`});
			return false;
		}
	}

	#noteOrigin(origin: MemberId | undefined, cause: string): void {
		if (origin !== this.#origin) {
			this.#origin = origin;
			this.parts.journal.record('listOriginChanged', {origin: origin ?? 'store', cause});
		}
	}
}

/** `partial`: there is more to read at once. */
type ReadOutcome = 'whole' | 'partial' | 'failed';
