/** Orders from an owner to one target. */
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

/** Dependencies of the orders. */
type SessionOrdersParts = {
	readonly orders: TargetOrders;
	/** Shared by all targets, since latency of the entry itself affects all of them. */
	readonly responseTimes: ResponseTimes;
	readonly clock: Clock;
};

/** Parameters of a renewal except fencing token and time limit. */
type Renewal = {readonly acknowledged: number; readonly leaseUntil: TargetTime | undefined; readonly waitMilliseconds: number};

/** Adds the owner's token and a time limit to each order, and measures response times. */
export class SessionOrders {
	constructor(private readonly parts: SessionOrdersParts, public target: TargetRecord, public fence: FencingToken) {}

	async start({task, attempt, payload}: RunRequest, leaseUntil: TargetTime): Promise<StartReply> {
		return this.#sendTimed(async limitMilliseconds => this.parts.orders.start(this.target, {
			task, attempt, payload, fence: this.fence, leaseUntil, limitMilliseconds,
		}));
	}

	async stop({task, attempt}: {readonly task: TaskId; readonly attempt: number}): Promise<StopReply> {
		return this.#sendTimed(async limitMilliseconds => this.parts.orders.stop(this.target, {
			task, attempt, fence: this.fence, limitMilliseconds,
		}));
	}

	/** Requests a report; renews and acknowledges nothing, since the target may have restarted. */
	async poll(): Promise<RenewalReply> {
		return this.#sendTimed(async limitMilliseconds => this.parts.orders.renew(this.target, {
			fence: this.fence, acknowledged: 0, leaseUntil: undefined, waitMilliseconds: 0, limitMilliseconds,
		}));
	}

	/** Renews the lease. The response time isn't recorded, because the target delays its answer until a run ends. */
	async renew(renewal: Renewal): Promise<RenewalReply> {
		const {orders, responseTimes} = this.parts;
		return orders.renew(this.target, {...renewal, fence: this.fence, limitMilliseconds: responseTimes.limitMilliseconds});
	}

	async #sendTimed<Reply extends {readonly kind: string}>(order: (limitMilliseconds: number) => Promise<Reply>): Promise<Reply> {
		const {responseTimes, clock} = this.parts;
		const sentAt = clock.now();
		const reply = await order(responseTimes.limitMilliseconds);
		if (reply.kind !== 'unanswered' && reply.kind !== 'unreachable') {
			responseTimes.record(clock.now() - sentAt);
		}

		return reply;
	}
}
