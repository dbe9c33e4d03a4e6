/** The entries that this one reads the list of targets for. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {KnownList} from './known-list.js';
import type {ListQuestion} from './list-question.js';
import type {ReadingCircle} from './reading-circle.js';

/** An entry that is asked reads for so long; who follows it asks several times within that. */
const serviceMilliseconds = 2000;

/** A question that is to be answered by a read. */
type Asked = readonly [MemberId, ListQuestion];

/**
 * Answers a question only by a read that began after it had come. So the asker knows by its own clock how old an answer can be,
 * however long this entry stood still before, or between the read and the answer.
 */
export class AskingEntries {
	readonly #waiting = new Map<MemberId, ListQuestion>();
	#askedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly circle: ReadingCircle, private readonly clock: Clock) {}

	/** Whether this entry has to read for others. */
	get isServed(): boolean {
		return this.clock.now() - this.#askedAt <= serviceMilliseconds;
	}

	/** The questions that a read which begins now will answer. */
	get waiting(): readonly Asked[] {
		return [...this.#waiting];
	}

	add(from: MemberId, question: ListQuestion): void {
		this.#askedAt = this.clock.now();
		this.#waiting.set(from, question);
	}

	answer(asked: readonly Asked[], list: KnownList): void {
		for (const [asker, question] of asked) {
			if (this.#waiting.get(asker) === question) {
				this.#waiting.delete(asker);
				this.circle.answer(asker, list.passageFor(question));
			}
		}
	}
}
