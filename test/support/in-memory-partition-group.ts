/** An in-memory partition group. */
import type {OwnershipGroupName} from '../../src/base/ownership-group-name.js';
import type {PartitionGrant} from '../../src/features/ownership/partition-grant.js';
import {PartitionGroup} from '../../src/features/ownership/partition-group.js';

type MemberState = {acknowledged: number};
type GroupState = {generation: number; readonly members: Map<string, MemberState>; readonly holders: Map<number, string>};

/** Assigns partitions round-robin; a reassigned partition moves once its holder has joined with the new generation. */
export class InMemoryPartitionGroup extends PartitionGroup {
	override readonly partitionCount = 24;
	isUnavailable = false;
	readonly #groups = new Map<OwnershipGroupName, GroupState>();

	override async join(group: OwnershipGroupName, member: string, generation: number): Promise<PartitionGrant | undefined> {
		if (this.isUnavailable) {
			return undefined;
		}

		const state = this.#stateOf(group);
		if (!state.members.has(member)) {
			state.members.set(member, {acknowledged: 0});
			state.generation += 1;
		}

		state.members.get(member)!.acknowledged = generation;
		this.#assignPartitions(state);
		const partitions = [...state.holders].filter(([partition, holder]) => holder === member && this.#assigneeOf(state, partition) === member).map(([partition]) => partition);
		return {generation: state.generation, partitions: new Set(partitions)};
	}

	override async holders(group: OwnershipGroupName): Promise<ReadonlySet<string> | undefined> {
		return this.isUnavailable ? undefined : new Set(this.#stateOf(group).holders.values());
	}

	override async leave(group: OwnershipGroupName, member: string): Promise<void> {
		this.expire(group, member);
	}

	/** Removes a member, as after a missed heartbeat, and frees its partitions. */
	expire(group: OwnershipGroupName, member: string): void {
		const state = this.#stateOf(group);
		if (state.members.delete(member)) {
			state.generation += 1;
		}

		for (const [partition, holder] of state.holders) {
			if (holder === member) {
				state.holders.delete(partition);
			}
		}
	}

	#assignPartitions(state: GroupState): void {
		for (let partition = 0; partition < this.partitionCount; partition += 1) {
			const assignee = this.#assigneeOf(state, partition);
			const holder = state.holders.get(partition);
			const isFree = holder === undefined || (holder !== assignee && state.members.get(holder)!.acknowledged >= state.generation);
			if (assignee !== undefined && isFree) {
				state.holders.set(partition, assignee);
			}
		}
	}

	#assigneeOf(state: GroupState, partition: number): string | undefined {
		const members = [...state.members.keys()].sort();
		return members[partition % Math.max(1, members.length)];
	}

	#stateOf(group: OwnershipGroupName): GroupState {
		const existing = this.#groups.get(group);
		if (existing !== undefined) {
			return existing;
		}

		const state: GroupState = {generation: 0, members: new Map(), holders: new Map()};
		this.#groups.set(group, state);
		return state;
	}
}
