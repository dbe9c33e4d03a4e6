/** All that reaches one entry from outside, held back while it stands still. */
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

/** What an entry is built on. */
type Surroundings = {readonly clock: FakeClock; readonly network: PeerNetwork; readonly orders: TargetOrders; readonly group: PartitionGroup};

/** Lets through what arrives, or keeps it in its order until the process goes on. */
class Gate {
	#held: Array<() => void> | undefined;

	close(): void {
		this.#held = [];
	}

	open(): void {
		const held = this.#held ?? [];
		this.#held = undefined;
		for (const action of held) {
			action();
		}
	}

	enter(action: () => void): void {
		if (this.#held === undefined) {
			action();
		} else {
			this.#held.push(action);
		}
	}

	async pass<Value>(arriving: Promise<Value>): Promise<Value> {
		const value = await arriving;
		if (this.#held !== undefined) {
			await new Promise<void>(resolve => {
				this.enter(resolve);
			});
		}

		return value;
	}
}

/** Peers' messages are read before the answers of targets and of the store. */
export class PausableDependencies {
	readonly clock: PausableClock;
	readonly network: PeerNetwork;
	readonly orders: TargetOrders;
	readonly group: PartitionGroup;
	readonly #peers = new Gate();
	readonly #answers = new Gate();

	constructor({clock, network, orders, group}: Surroundings) {
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

	/** `runTimers` is called between: timers that are due may run before anything is read. */
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
			gate.enter(() => {
				this.#receive.fire(message);
			});
		});
		network.onDidDiscover(member => {
			gate.enter(() => {
				this.#meet.fire(member);
			});
		});
		network.onDidConfirmDeath(id => {
			gate.enter(() => {
				this.#proveDead.fire(id);
			});
		});
		network.onDidRefuseConnection(address => {
			gate.enter(() => {
				this.#refuse.fire(address);
			});
		});
		network.onDidReconnect(member => {
			gate.enter(() => {
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
		return this.gate.pass(this.orders.start(target, order));
	}

	override async stop(target: TargetRecord, order: StopOrder) {
		return this.gate.pass(this.orders.stop(target, order));
	}

	override async renew(target: TargetRecord, order: RenewalOrder) {
		return this.gate.pass(this.orders.renew(target, order));
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
		return this.gate.pass(this.group.join(group, member, generation));
	}

	override async holders(group: OwnershipGroupName) {
		return this.gate.pass(this.group.holders(group));
	}

	override async leave(group: OwnershipGroupName, member: string): Promise<void> {
		return this.gate.pass(this.group.leave(group, member));
	}
}
