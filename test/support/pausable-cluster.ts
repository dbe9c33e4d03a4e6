/** Several entries in memory, each of which may stand still. */
import type {InstanceId} from '../../src/base/instance-id.js';
import type {OwnershipGroupName} from '../../src/base/ownership-group-name.js';
import {RoutingTable} from '../../src/features/routing/routing-table.js';
import {EntryClock} from './entry-clock.js';
import {EntryPartitionGroup} from './entry-partition-group.js';
import {EntryTargetOrders} from './entry-target-orders.js';
import {PooledCluster} from './pooled-cluster.js';
import type {ResumeOptions} from './resume-options.js';

/** The store takes a member as gone after so long. */
const membershipMilliseconds = 1500;
/** An entry that stood still takes callers' requests only so long after it. */
const wakingMilliseconds = 60;

type Caller = {readonly submitted: ReturnType<PooledCluster['submit']> | undefined; readonly hangUp: () => void};

/** A pooled world whose entries have a clock each. */
export class PausableCluster {
	readonly clocks = new Map<string, EntryClock>();
	readonly cluster: PooledCluster;
	readonly #orders = new Map<string, EntryTargetOrders>();
	readonly #zones: ReadonlySet<string>;
	#callers = 0;

	constructor(readonly names: readonly string[], targetsInZone: number) {
		this.#zones = new Set(names.map(name => zoneOf(name)));
		this.cluster = new PooledCluster(names, targetsInZone, (name, parts, world) => {
			const clock = new EntryClock(world.clock);
			const orders = new EntryTargetOrders(world.orders, clock, world.clock);
			this.clocks.set(name, clock);
			this.#orders.set(name, orders);
			world.network.receiveHandlers.set(parts.network.self.id, (socket, read) => {
				clock.receive(socket, read);
			});
			return {
				...parts, clock, orders, group: new EntryPartitionGroup(world.group, clock), routing: new RoutingTable(membershipMilliseconds, clock, world.journal),
			};
		});
	}

	/** The entry stands still; the store takes it as gone after a while. */
	pause(name: string): void {
		const {clock, group} = this.cluster;
		const entry = this.clocks.get(name)!;
		if (entry.isPaused) {
			return;
		}

		entry.pause();
		const pausedAt = clock.now();
		clock.schedule(membershipMilliseconds, () => {
			for (const zone of entry.pausedAt === pausedAt ? this.#zones : []) {
				group.expire(`targets.${zone}` as OwnershipGroupName, `${zoneOf(name)}/${name}`);
			}
		});
	}

	resume(name: string, waking: ResumeOptions): void {
		this.clocks.get(name)!.resume(waking);
	}

	/** Ends a process without a word: what a target or a peer still answers is read by nobody. */
	kill(name: string): void {
		this.cluster.kill(name);
		this.clocks.get(name)!.pause();
	}

	/** What an entry hasn't read of another one's messages is lost with their connection. */
	dropUnread(name: string, other: string): void {
		this.clocks.get(name)!.dropUnread(`from ${other}#1`);
	}

	/** A target answers no start from now on and carries it out later; on time again where that is undefined. */
	setStartDelay(target: string, milliseconds: number | undefined): void {
		for (const {startDelays: lateness} of this.#orders.values()) {
			if (milliseconds === undefined) {
				lateness.delete(target as InstanceId);
			} else {
				lateness.set(target as InstanceId, milliseconds);
			}
		}
	}

	/** A caller submits a job to an entry, which reads it when it can. */
	submit(entry: string, id: string, options: Parameters<PooledCluster['submit']>[2]): Caller {
		this.#callers += 1;
		const socket = `caller ${this.#callers}`;
		const clock = this.clocks.get(entry)!;
		let submitted: Caller['submitted'];
		let isGone = false;
		const read = () => {
			if (!isGone) {
				submitted = this.cluster.submit(entry, id, options);
			}
		};

		if (clock.isPaused) {
			clock.receive(socket, () => {
				clock.schedule(wakingMilliseconds, read);
			});
		} else {
			read();
		}

		return {
			get submitted() {
				return submitted;
			},
			hangUp() {
				clock.receive(socket, () => {
					isGone = true;
					submitted?.cancel();
				});
			},
		};
	}
}

function zoneOf(name: string): string {
	return name.split('-')[0]!;
}
