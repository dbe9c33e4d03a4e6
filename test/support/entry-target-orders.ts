/** A pausable entry's connection to in-memory targets. */
import type {Clock} from '../../src/base/clock.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {OrderFailure} from '../../src/features/targets/order-failure.js';
import type {RenewalOrder} from '../../src/features/targets/renewal-order.js';
import type {RenewalReply} from '../../src/features/targets/renewal-reply.js';
import type {StartOrder} from '../../src/features/targets/start-order.js';
import type {StartReply} from '../../src/features/targets/start-reply.js';
import type {StopOrder} from '../../src/features/targets/stop-order.js';
import type {StopReply} from '../../src/features/targets/stop-reply.js';
import {TargetOrders} from '../../src/features/targets/target-orders.js';
import type {TargetRecord} from '../../src/features/targets/target-record.js';
import type {EntryClock} from './entry-clock.js';
import type {InMemoryTargets} from './in-memory-targets.js';

/** Targets execute orders while the entry is paused; replies are queued in its sockets, and its time limits can expire. */
export class EntryTargetOrders extends TargetOrders {
	/** Targets that execute starts late and without a reply, with the delay in milliseconds. */
	readonly startDelays = new Map<InstanceId, number>();

	constructor(private readonly targets: InMemoryTargets, private readonly clock: EntryClock, private readonly clusterClock: Clock) {
		super();
	}

	override async start(target: TargetRecord, order: StartOrder): Promise<StartReply> {
		const delayMilliseconds = this.startDelays.get(target.id);
		if (delayMilliseconds === undefined) {
			return this.#withTimeout(target.id, this.targets.start(target, order), order.limitMilliseconds);
		}

		this.clusterClock.schedule(delayMilliseconds, () => {
			this.targets.executeStart(target.id, order);
		});
		return this.#withTimeout(target.id, never(), order.limitMilliseconds);
	}

	override async stop(target: TargetRecord, order: StopOrder): Promise<StopReply> {
		return this.#withTimeout(target.id, this.targets.stop(target, order), order.limitMilliseconds);
	}

	override async renew(target: TargetRecord, order: RenewalOrder): Promise<RenewalReply> {
		return this.#withTimeout(target.id, this.targets.renew(target, order), order.waitMilliseconds + order.limitMilliseconds);
	}

	override disconnect(): void {
		// There are no connections.
	}

	async #withTimeout<Reply>(target: InstanceId, reply: Promise<Reply>, limitMilliseconds: number): Promise<Reply | OrderFailure> {
		return new Promise(resolve => {
			const timeout = this.clock.schedule(limitMilliseconds, () => {
				resolve({kind: 'unanswered', detail: 'no answer'});
			});
			void (async () => {
				const value = await reply;
				this.clock.receive(target, () => {
					timeout.dispose();
					resolve(value);
				});
			})();
		});
	}
}

async function never(): Promise<never> {
	return new Promise(() => {
		// Stays pending: the reply is lost.
	});
}
