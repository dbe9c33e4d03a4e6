/** A partition group in memory. */
import type {OwnershipGroupName} from '../../src/base/ownership-group-name.js';
import type {PartitionGrant} from '../../src/features/ownership/partition-grant.js';
import {PartitionGroup} from '../../src/features/ownership/partition-group.js';

type ModelMember = {acknowledged: number};
type State = {generation: number; readonly members: Map<string, ModelMember>; readonly holders: Map<number, string>};

/** Deals partitions round the members; a lost one moves on once its holder has joined with the newer generation. */
export class InMemoryPartitionGroup extends PartitionGroup {
	override readonly partitionCount = 24;
	isUnavailable = false;
	readonly #groups = new Map<OwnershipGroupName, State>();

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
		this.#deal(state);
		const partitions = [...state.holders].filter(([partition, holder]) => holder === member && this.#wanted(state, partition) === member).map(([partition]) => partition);
		return {generation: state.generation, partitions: new Set(partitions)};
	}

	override async holders(group: OwnershipGroupName): Promise<ReadonlySet<string> | undefined> {
		return this.isUnavailable ? undefined : new Set(this.#stateOf(group).holders.values());
	}

	override async leave(group: OwnershipGroupName, member: string): Promise<void> {
		this.expire(group, member);
	}

	/** The member was silent for too long. */
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

	#deal(state: State): void {
		for (let partition = 0; partition < this.partitionCount; partition += 1) {
			const wanted = this.#wanted(state, partition);
			const holder = state.holders.get(partition);
			const isFree = holder === undefined || (holder !== wanted && state.members.get(holder)!.acknowledged >= state.generation);
			if (wanted !== undefined && isFree) {
				state.holders.set(partition, wanted);
			}
		}
	}

	#wanted(state: State, partition: number): string | undefined {
		const members = [...state.members.keys()].sort();
		return members[partition % Math.max(1, members.length)];
	}

	#stateOf(group: OwnershipGroupName): State {
		const known = this.#groups.get(group);
		if (known !== undefined) {
			return known;
		}

		const state: State = {generation: 0, members: new Map(), holders: new Map()};
		this.#groups.set(group, state);
		return state;
	}
}
