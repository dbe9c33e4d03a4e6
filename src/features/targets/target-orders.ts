/** Orders to targets. */
import type {RenewalOrder} from './renewal-order.js';
import type {RenewalReply} from './renewal-reply.js';
import type {StartOrder} from './start-order.js';
import type {StartReply} from './start-reply.js';
import type {StopOrder} from './stop-order.js';
import type {StopReply} from './stop-reply.js';
import type {TargetRecord} from './target-record.js';

/** Never throws and always settles within its own time limits. Each order names the life it's meant for. */
export abstract class TargetOrders {
	abstract start(target: TargetRecord, order: StartOrder): Promise<StartReply>;

	abstract stop(target: TargetRecord, order: StopOrder): Promise<StopReply>;

	abstract renew(target: TargetRecord, order: RenewalOrder): Promise<RenewalReply>;

	/** Closes the connections to a target that is no longer ordered from here. */
	abstract disconnect(target: TargetRecord): void;
}
