/** A simulated cluster whose entries can be paused. */
import type {InstanceId} from '../../src/base/instance-id.js';
import type {OwnershipGroupName} from '../../src/base/ownership-group-name.js';
import {RoutingTable} from '../../src/features/routing/routing-table.js';
import {EntryClock} from './entry-clock.js';
import {EntryPartitionGroup} from './entry-partition-group.js';
import {EntryTargetOrders} from './entry-target-orders.js';
import {PooledCluster} from './pooled-cluster.js';
import type {ResumeOptions} from './resume-options.js';

/** How long a member may be silent before the partition group expires it. */
const membershipTimeoutMilliseconds = 1500;
/** How long after resuming an entry reads the requests that arrived during the pause. */
const resumeDelayMilliseconds = 60;

type Submission = {readonly submitted: ReturnType<PooledCluster['submit']> | undefined; readonly disconnect: () => void};

/** A pooled cluster in which each entry has its own clock. */
export class PausableCluster {
	readonly clocks = new Map<string, EntryClock>();
	readonly cluster: PooledCluster;
	readonly #orders = new Map<string, EntryTargetOrders>();
	readonly #zones: ReadonlySet<string>;
	#callerCount = 0;
	#keepsMemberships = false;

	constructor(readonly names: readonly string[], targetsInZone: number) {
		this.#zones = new Set(names.map(name => zoneOf(name)));
		this.cluster = new PooledCluster(names, targetsInZone, (name, dependencies, cluster) => {
			const clock = new EntryClock(cluster.clock);
			const orders = new EntryTargetOrders(cluster.orders, clock, cluster.clock);
			this.clocks.set(name, clock);
			this.#orders.set(name, orders);
			cluster.network.receiveHandlers.set(dependencies.network.self.id, (socket, read) => {
				clock.receive(socket, read);
			});
			return {
				...dependencies, clock, orders, group: new EntryPartitionGroup(cluster.group, clock), routing: new RoutingTable(membershipTimeoutMilliseconds, clock, cluster.journal),
			};
		});
	}

	/** Pauses an entry; its group membership expires if the pause is long enough. */
	pause(name: string): void {
		const {clock, group} = this.cluster;
		const entry = this.clocks.get(name)!;
		if (entry.isPaused) {
			return;
		}

		entry.pause();
		const pausedAt = clock.now();
		clock.schedule(membershipTimeoutMilliseconds, () => {
			for (const zone of entry.pausedAt === pausedAt && !this.#keepsMemberships ? this.#zones : []) {
				group.expire(`targets.${zone}` as OwnershipGroupName, `${zoneOf(name)}/${name}`);
			}
		});
	}

	resume(name: string, options: ResumeOptions): void {
		this.clocks.get(name)!.resume(options);
	}

	/** Ends a process abruptly; replies that are still on the way are never read. */
	kill(name: string): void {
		this.cluster.kill(name);
		this.clocks.get(name)!.pause();
	}

	/** Discards the messages from another entry that haven't been read yet. */
	dropUnread(name: string, other: string): void {
		this.clocks.get(name)!.dropUnread(`from ${other}#1`);
	}

	/** Makes a target execute starts late and without a reply; `undefined` restores normal behaviour. */
	setStartDelay(target: string, milliseconds: number | undefined): void {
		for (const {startDelays} of this.#orders.values()) {
			if (milliseconds === undefined) {
				startDelays.delete(target as InstanceId);
			} else {
				startDelays.set(target as InstanceId, milliseconds);
			}
		}
	}

	/** Keeps the group memberships of paused entries, as a store does that is down meanwhile. */
	keepMemberships(): void {
		this.#keepsMemberships = true;
	}

	/** Makes targets close idle connections, on which an entry's next orders fail. */
	closeIdleConnections(): void {
		for (const orders of this.#orders.values()) {
			orders.closesIdleConnections = true;
		}
	}

	/** Loses all stops to a target, whichever entry sends them, while other orders are executed. */
	loseStops(target: string, areLost: boolean): void {
		for (const {lostStops} of this.#orders.values()) {
			if (areLost) {
				lostStops.add(target as InstanceId);
			} else {
				lostStops.delete(target as InstanceId);
			}
		}
	}

	/** Submits a job to an entry, which reads the request once it runs. */
	submit(entry: string, id: string, options: Parameters<PooledCluster['submit']>[2]): Submission {
		this.#callerCount += 1;
		const socket = `caller ${this.#callerCount}`;
		const clock = this.clocks.get(entry)!;
		let submitted: Submission['submitted'];
		let isDisconnected = false;
		const read = () => {
			if (!isDisconnected) {
				submitted = this.cluster.submit(entry, id, options);
			}
		};

		if (clock.isPaused) {
			clock.receive(socket, () => {
				clock.schedule(resumeDelayMilliseconds, read);
			});
		} else {
			read();
		}

		return {
			get submitted() {
				return submitted;
			},
			disconnect() {
				clock.receive(socket, () => {
					isDisconnected = true;
					submitted?.cancel();
				});
			},
		};
	}
}

function zoneOf(name: string): string {
	return name.split('-')[0]!;
}
