/** One entry's way to a partition group in memory. */
import type {OwnershipGroupName} from '../../src/base/ownership-group-name.js';
import type {PartitionGrant} from '../../src/features/ownership/partition-grant.js';
import {PartitionGroup} from '../../src/features/ownership/partition-group.js';
import type {EntryClock} from './entry-clock.js';

const socket = 'store';

/** The store's answers wait while the entry stands still. */
export class EntryPartitionGroup extends PartitionGroup {
	override readonly partitionCount: number;

	constructor(private readonly group: PartitionGroup, private readonly clock: EntryClock) {
		super();
		this.partitionCount = group.partitionCount;
	}

	override async join(group: OwnershipGroupName, member: string, generation: number): Promise<PartitionGrant | undefined> {
		return this.#await(this.group.join(group, member, generation));
	}

	override async holders(group: OwnershipGroupName): Promise<ReadonlySet<string> | undefined> {
		return this.#await(this.group.holders(group));
	}

	override async leave(group: OwnershipGroupName, member: string): Promise<void> {
		return this.#await(this.group.leave(group, member));
	}

	async #await<Answer>(answer: Promise<Answer>): Promise<Answer> {
		const read = await answer;
		return new Promise(resolve => {
			this.clock.receive(socket, () => {
				resolve(read);
			});
		});
	}
}
