/** Cleanup of the memberships that an entry's former processes left in a group. */
import type {OwnershipGroupName} from '../../base/ownership-group-name.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {PartitionGroup} from './partition-group.js';

/** Separates the parts of a member's name; the last part differs between processes at one address. */
const separator = '/';

/** A member of a group. */
type Membership = {readonly group: OwnershipGroupName; readonly member: string};

/**
 * Removes the members with the same address as an entry from a group; returns whether there were any. Without this, a process
 * that crashed would hold its partitions until its membership expires. An address has one listener, so its former processes
 * have ended.
 */
export async function removeFormerMembers({group, member}: Membership, store: PartitionGroup, journal: Journal): Promise<boolean> {
	const address = member.slice(0, member.lastIndexOf(separator) + 1);
	if (address === '') {
		return false;
	}

	const holders = await store.holders(group) ?? new Set<string>();
	const former = [...holders].filter(holder => holder.startsWith(address) && holder !== member);
	await Promise.all(former.map(async holder => {
		journal.record('formerLifeEnded', {group, holder});
		await store.leave(group, holder);
	}));
	return former.length > 0;
}
