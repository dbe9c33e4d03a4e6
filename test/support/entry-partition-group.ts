/** A pausable entry's connection to an in-memory partition group. */
import type {OwnershipGroupName} from '../../src/base/ownership-group-name.js';
import type {PartitionGrant} from '../../src/features/ownership/partition-grant.js';
import {PartitionGroup} from '../../src/features/ownership/partition-group.js';
import type {EntryClock} from './entry-clock.js';

const socket = 'store';

/** Queues the group's replies while the entry is paused. */
export class EntryPartitionGroup extends PartitionGroup {
	override readonly partitionCount: number;

	constructor(private readonly group: PartitionGroup, private readonly clock: EntryClock) {
		super();
		this.partitionCount = group.partitionCount;
	}

	override async join(group: OwnershipGroupName, member: string, generation: number): Promise<PartitionGrant | undefined> {
		return this.#receive(this.group.join(group, member, generation));
	}

	override async holders(group: OwnershipGroupName): Promise<ReadonlySet<string> | undefined> {
		return this.#receive(this.group.holders(group));
	}

	override async leave(group: OwnershipGroupName, member: string): Promise<void> {
		return this.#receive(this.group.leave(group, member));
	}

	async #receive<Answer>(answer: Promise<Answer>): Promise<Answer> {
		const value = await answer;
		return new Promise(resolve => {
			this.clock.receive(socket, () => {
				resolve(value);
			});
		});
	}
}
