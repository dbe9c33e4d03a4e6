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

/** Targets close a connection that has been idle for this long. */
const idleLimitMilliseconds = 2000;
/** Time in which an entry finds all its connections to a target closed, and opens others. */
const reopeningMilliseconds = 20;

/** Targets execute orders while the entry is paused; replies are queued in its sockets, and its time limits can expire. */
export class EntryTargetOrders extends TargetOrders {
	/** Targets that execute starts late and without a reply, with the delay in milliseconds. */
	readonly startDelays = new Map<InstanceId, number>();
	/** Targets that never receive the entry's stops. */
	readonly lostStops = new Set<InstanceId>();
	/** Whether the first orders on connections that the targets have closed for idleness fail. */
	closesIdleConnections = false;
	/** When each target last received an order or sent a reply, by the cluster's clock. */
	readonly #usedAt = new Map<InstanceId, number>();
	/** When the connections to a target work again that were found closed. */
	readonly #reopensAt = new Map<InstanceId, number>();

	constructor(private readonly targets: InMemoryTargets, private readonly clock: EntryClock, private readonly clusterClock: Clock) {
		super();
	}

	override async start(target: TargetRecord, order: StartOrder): Promise<StartReply> {
		const delayMilliseconds = this.startDelays.get(target.id);
		if (delayMilliseconds === undefined) {
			return this.#send(target.id, async () => this.targets.start(target, order), order.limitMilliseconds);
		}

		this.clusterClock.schedule(delayMilliseconds, () => {
			this.targets.executeStart(target.id, order);
		});
		return this.#withTimeout(target.id, never(), order.limitMilliseconds);
	}

	override async stop(target: TargetRecord, order: StopOrder): Promise<StopReply> {
		return this.#send(target.id, async () => this.lostStops.has(target.id) ? never() : this.targets.stop(target, order), order.limitMilliseconds);
	}

	override async renew(target: TargetRecord, order: RenewalOrder): Promise<RenewalReply> {
		return this.#send(target.id, async () => this.targets.renew(target, order), order.waitMilliseconds + order.limitMilliseconds);
	}

	override disconnect(): void {
		// There are no connections.
	}

	async #send<Reply>(target: InstanceId, execute: () => Promise<Reply>, limitMilliseconds: number): Promise<Reply | OrderFailure> {
		if (this.#isClosed(target)) {
			return {kind: 'unanswered', detail: 'connection closed by the server'};
		}

		this.#usedAt.set(target, this.clusterClock.now());
		return this.#withTimeout(target, execute(), limitMilliseconds);
	}

	#isClosed(target: InstanceId): boolean {
		const now = this.clusterClock.now();
		if (!this.closesIdleConnections || now < (this.#reopensAt.get(target) ?? 0)) {
			return this.closesIdleConnections;
		}

		const isIdle = now - (this.#usedAt.get(target) ?? now) > idleLimitMilliseconds;
		if (isIdle) {
			this.#reopensAt.set(target, now + reopeningMilliseconds);
			this.#usedAt.set(target, now + reopeningMilliseconds);
		}

		return isIdle;
	}

	async #withTimeout<Reply>(target: InstanceId, reply: Promise<Reply>, limitMilliseconds: number): Promise<Reply | OrderFailure> {
		return new Promise(resolve => {
			const timeout = this.clock.schedule(limitMilliseconds, () => {
				resolve({kind: 'unanswered', detail: 'no answer'});
			});
			void (async () => {
				const value = await reply;
				this.#usedAt.set(target, Math.max(this.#usedAt.get(target) ?? 0, this.clusterClock.now()));
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
