/** Orders of one owner to one target. */
import type {Clock} from '../../base/clock.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {TargetTime} from '../../base/target-time.js';
import type {TaskId} from '../../base/task-id.js';
import type {RenewalReply} from '../targets/renewal-reply.js';
import type {StartReply} from '../targets/start-reply.js';
import type {StopReply} from '../targets/stop-reply.js';
import type {TargetOrders} from '../targets/target-orders.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {ResponseTimes} from './response-times.js';
import type {RunRequest} from './run-request.js';

/** What the orders work with. */
type SessionOrdersParts = {
	readonly orders: TargetOrders;
	/** Of all targets together: what is slow about an entry is slow for each of them. */
	readonly answerTimes: ResponseTimes;
	readonly clock: Clock;
};

/** What a renewal is to do, but for its right and its time limit. */
type Renewal = {readonly acknowledged: number; readonly leaseUntil: TargetTime | undefined; readonly waitMilliseconds: number};

/** Adds the owner's token and a time limit to each order, and learns from how soon it's answered. */
export class SessionOrders {
	constructor(private readonly parts: SessionOrdersParts, public target: TargetRecord, public fence: FencingToken) {}

	async start({task, attempt, payload}: RunRequest, leaseUntil: TargetTime): Promise<StartReply> {
		return this.#timed(async limitMilliseconds => this.parts.orders.start(this.target, {
			task, attempt, payload, fence: this.fence, leaseUntil, limitMilliseconds,
		}));
	}

	async stop({task, attempt}: {readonly task: TaskId; readonly attempt: number}): Promise<StopReply> {
		return this.#timed(async limitMilliseconds => this.parts.orders.stop(this.target, {
			task, attempt, fence: this.fence, limitMilliseconds,
		}));
	}

	/** Asks what runs there now; renews nothing, and acknowledges nothing, since the target may have started again. */
	async look(): Promise<RenewalReply> {
		return this.#timed(async limitMilliseconds => this.parts.orders.renew(this.target, {
			fence: this.fence, acknowledged: 0, leaseUntil: undefined, waitMilliseconds: 0, limitMilliseconds,
		}));
	}

	/** Nothing is learned from its answer, which the target holds back until something ends. */
	async renew(renewal: Renewal): Promise<RenewalReply> {
		const {orders, answerTimes} = this.parts;
		return orders.renew(this.target, {...renewal, fence: this.fence, limitMilliseconds: answerTimes.limitMilliseconds});
	}

	async #timed<Reply extends {readonly kind: string}>(order: (limitMilliseconds: number) => Promise<Reply>): Promise<Reply> {
		const {answerTimes, clock} = this.parts;
		const sentAt = clock.now();
		const reply = await order(answerTimes.limitMilliseconds);
		if (reply.kind !== 'unanswered' && reply.kind !== 'unreachable') {
			answerTimes.record(clock.now() - sentAt);
		}

		return reply;
	}
}
