/** Requests for tasks that still run here for other requesters, because their callers have resubmitted the jobs. */
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';

type WaitingRequest = {readonly from: MemberId; readonly attempt: number};

/** Keeps the latest request of each requester for a task until its run has ended. */
export class WaitingRequests {
	readonly #requests = new Map<TaskId, readonly WaitingRequest[]>();

	add(task: TaskId, request: WaitingRequest): void {
		this.cancel(task, request.from);
		this.#requests.set(task, [...this.#requests.get(task) ?? [], request]);
	}

	/** Removes and returns the requests for a task. */
	take(task: TaskId): readonly WaitingRequest[] {
		const requests = this.#requests.get(task) ?? [];
		this.#requests.delete(task);
		return requests;
	}

	cancel(task: TaskId, from: MemberId): void {
		const others = (this.#requests.get(task) ?? []).filter(waiting => waiting.from !== from);
		if (others.length === 0) {
			this.#requests.delete(task);
		} else {
			this.#requests.set(task, others);
		}
	}

	cancelAllOf(from: MemberId): void {
		for (const task of this.#requests.keys()) {
			this.cancel(task, from);
		}
	}
}
