/** Requests for the target list from other entries. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {ReplicatedList} from './replicated-list.js';
import type {ListRequest} from './list-request.js';
import type {ReaderGroup} from './reader-group.js';

/** How long an entry reads for others after a request; followers send several requests in that time. */
const serviceMilliseconds = 2000;

/** The latest request of an entry. */
type PendingRequest = readonly [MemberId, ListRequest];

/**
 * Answers a request only with a read that began after the request had arrived. This way the requester's own clock bounds the age of
 * the answer, even if this entry stalls.
 */
export class PendingListRequests {
	readonly #pending = new Map<MemberId, ListRequest>();
	#lastRequestAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly readerGroup: ReaderGroup, private readonly clock: Clock) {}

	/** Whether this entry has to read for others. */
	get isServing(): boolean {
		return this.clock.now() - this.#lastRequestAt <= serviceMilliseconds;
	}

	/** The requests that a read that begins now will answer. */
	get pending(): readonly PendingRequest[] {
		return [...this.#pending];
	}

	/** Adds a request; replaces an earlier one from the same entry. */
	add(from: MemberId, request: ListRequest): void {
		this.#lastRequestAt = this.clock.now();
		this.#pending.set(from, request);
	}

	/** Answers those of the given requests that have not been replaced since. */
	answer(requests: readonly PendingRequest[], list: ReplicatedList): void {
		for (const [requester, request] of requests) {
			if (this.#pending.get(requester) === request) {
				this.#pending.delete(requester);
				this.readerGroup.sendUpdate(requester, list.updateFor(request));
			}
		}
	}
}
