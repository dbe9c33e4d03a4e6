/** Orders to targets. */
import type {RenewalOrder} from './renewal-order.js';
import type {RenewalReply} from './renewal-reply.js';
import type {StartOrder} from './start-order.js';
import type {StartReply} from './start-reply.js';
import type {StopOrder} from './stop-order.js';
import type {StopReply} from './stop-reply.js';
import type {TargetRecord} from './target-record.js';

/** Never rejects, and settles within the time limit of each order. Each order names the incarnation it is meant for. */
export abstract class TargetOrders {
	abstract start(target: TargetRecord, order: StartOrder): Promise<StartReply>;

	abstract stop(target: TargetRecord, order: StopOrder): Promise<StopReply>;

	abstract renew(target: TargetRecord, order: RenewalOrder): Promise<RenewalReply>;

	/** Closes the connections to a target that gets no more orders. */
	abstract disconnect(target: TargetRecord): void;
}
