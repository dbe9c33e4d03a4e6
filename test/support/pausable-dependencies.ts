/** Dependencies of an entry that can be paused; incoming messages and replies are queued during a pause. */
import {Emitter} from '../../src/base/emitter.js';
import type {MemberId} from '../../src/base/member-id.js';
import type {OwnershipGroupName} from '../../src/base/ownership-group-name.js';
import {PartitionGroup} from '../../src/features/ownership/partition-group.js';
import type {RenewalOrder} from '../../src/features/targets/renewal-order.js';
import type {StartOrder} from '../../src/features/targets/start-order.js';
import type {StopOrder} from '../../src/features/targets/stop-order.js';
import {TargetOrders} from '../../src/features/targets/target-orders.js';
import type {TargetRecord} from '../../src/features/targets/target-record.js';
import type {Member} from '../../src/runtime/peers/member.js';
import type {PeerMessage} from '../../src/runtime/peers/peer-message.js';
import {PeerNetwork} from '../../src/runtime/peers/peer-network.js';
import type {ReceivedMessage} from '../../src/runtime/peers/received-message.js';
import type {FakeClock} from './fake-clock.js';
import {PausableClock} from './pausable-clock.js';

/** The dependencies that are wrapped. */
type Dependencies = {readonly clock: FakeClock; readonly network: PeerNetwork; readonly orders: TargetOrders; readonly group: PartitionGroup};

/** Runs actions at once while open, and queues them in order while closed. */
class Gate {
	#queue: Array<() => void> | undefined;

	close(): void {
		this.#queue = [];
	}

	open(): void {
		const queued = this.#queue ?? [];
		this.#queue = undefined;
		for (const action of queued) {
			action();
		}
	}

	run(action: () => void): void {
		if (this.#queue === undefined) {
			action();
		} else {
			this.#queue.push(action);
		}
	}

	async deliver<Value>(arriving: Promise<Value>): Promise<Value> {
		const value = await arriving;
		if (this.#queue !== undefined) {
			await new Promise<void>(resolve => {
				this.run(resolve);
			});
		}

		return value;
	}
}

/** On resume, messages from peers are delivered before replies of targets and of the partition group. */
export class PausableDependencies {
	readonly clock: PausableClock;
	readonly network: PeerNetwork;
	readonly orders: TargetOrders;
	readonly group: PartitionGroup;
	readonly #peers = new Gate();
	readonly #answers = new Gate();

	constructor({clock, network, orders, group}: Dependencies) {
		this.clock = new PausableClock(clock);
		this.network = new GatedNetwork(network, this.#peers);
		this.orders = new GatedOrders(orders, this.#answers);
		this.group = new GatedGroup(group, this.#answers);
	}

	pause(kind: 'suspended' | 'frozen'): void {
		this.clock.pause(kind);
		this.#peers.close();
		this.#answers.close();
	}

	/** Calls `runTimers` after the clock resumes and before any queued message is delivered. */
	resume(runTimers: () => void): void {
		this.clock.resume();
		runTimers();
		this.#peers.open();
		this.#answers.open();
	}
}

class GatedNetwork extends PeerNetwork {
	readonly #receive = new Emitter<ReceivedMessage>();
	readonly #meet = new Emitter<Member>();
	readonly #proveDead = new Emitter<MemberId>();
	readonly #refuse = new Emitter<string>();
	readonly #reconnect = new Emitter<Member>();

	constructor(private readonly network: PeerNetwork, gate: Gate) {
		super();
		network.onDidReceive(message => {
			gate.run(() => {
				this.#receive.fire(message);
			});
		});
		network.onDidDiscover(member => {
			gate.run(() => {
				this.#meet.fire(member);
			});
		});
		network.onDidConfirmDeath(id => {
			gate.run(() => {
				this.#proveDead.fire(id);
			});
		});
		network.onDidRefuseConnection(address => {
			gate.run(() => {
				this.#refuse.fire(address);
			});
		});
		network.onDidReconnect(member => {
			gate.run(() => {
				this.#reconnect.fire(member);
			});
		});
	}

	override get onDidReceive() {
		return this.#receive.event;
	}

	override get onDidDiscover() {
		return this.#meet.event;
	}

	override get onDidConfirmDeath() {
		return this.#proveDead.event;
	}

	override get onDidRefuseConnection() {
		return this.#refuse.event;
	}

	override get onDidReconnect() {
		return this.#reconnect.event;
	}

	override get self() {
		return this.network.self;
	}

	override get traffic() {
		return this.network.traffic;
	}

	override send(to: Member, message: PeerMessage): void {
		this.network.send(to, message);
	}

	override monitor(peerAddresses: ReadonlySet<string>): void {
		this.network.monitor(peerAddresses);
	}

	override discover(peerAddresses: ReadonlySet<string>): void {
		this.network.discover(peerAddresses);
	}

	override lastReceivedAt(member: MemberId): number | undefined {
		return this.network.lastReceivedAt(member);
	}

	override unansweredSince(member: MemberId): number | undefined {
		return this.network.unansweredSince(member);
	}

	override lastAcknowledgedAt(member: MemberId): number | undefined {
		return this.network.lastAcknowledgedAt(member);
	}

	override renewIncarnation(): void {
		this.network.renewIncarnation();
	}
}

class GatedOrders extends TargetOrders {
	constructor(private readonly orders: TargetOrders, private readonly gate: Gate) {
		super();
	}

	override async start(target: TargetRecord, order: StartOrder) {
		return this.gate.deliver(this.orders.start(target, order));
	}

	override async stop(target: TargetRecord, order: StopOrder) {
		return this.gate.deliver(this.orders.stop(target, order));
	}

	override async renew(target: TargetRecord, order: RenewalOrder) {
		return this.gate.deliver(this.orders.renew(target, order));
	}

	override disconnect(target: TargetRecord): void {
		this.orders.disconnect(target);
	}
}

class GatedGroup extends PartitionGroup {
	constructor(private readonly group: PartitionGroup, private readonly gate: Gate) {
		super();
	}

	override get partitionCount(): number {
		return this.group.partitionCount;
	}

	override async join(group: OwnershipGroupName, member: string, generation: number) {
		return this.gate.deliver(this.group.join(group, member, generation));
	}

	override async holders(group: OwnershipGroupName) {
		return this.gate.deliver(this.group.holders(group));
	}

	override async leave(group: OwnershipGroupName, member: string): Promise<void> {
		return this.gate.deliver(this.group.leave(group, member));
	}
}
