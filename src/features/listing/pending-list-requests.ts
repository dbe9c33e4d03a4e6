/** The entries that this one reads the list of targets for. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {ReplicatedList} from './replicated-list.js';
import type {ListRequest} from './list-request.js';
import type {ReaderGroup} from './reader-group.js';

/** An entry that is asked reads for so long; who follows it asks several times within that. */
const serviceMilliseconds = 2000;

/** A question that is to be answered by a read. */
type PendingRequest = readonly [MemberId, ListRequest];

/**
 * Answers a question only by a read that began after it had come. So the requester knows by its own clock how old an answer can be,
 * however long this entry stood still before, or between the read and the answer.
 */
export class PendingListRequests {
	readonly #pending = new Map<MemberId, ListRequest>();
	#lastRequestAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly readerGroup: ReaderGroup, private readonly clock: Clock) {}

	/** Whether this entry has to read for others. */
	get isServing(): boolean {
		return this.clock.now() - this.#lastRequestAt <= serviceMilliseconds;
	}

	/** The questions that a read which begins now will answer. */
	get pending(): readonly PendingRequest[] {
		return [...this.#pending];
	}

	add(from: MemberId, request: ListRequest): void {
		this.#lastRequestAt = this.clock.now();
		this.#pending.set(from, request);
	}

	answer(requests: readonly PendingRequest[], list: ReplicatedList): void {
		for (const [requester, request] of requests) {
			if (this.#pending.get(requester) === request) {
				this.#pending.delete(requester);
				this.readerGroup.sendUpdate(requester, list.updateFor(request));
			}
		}
	}
}
