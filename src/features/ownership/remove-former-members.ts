/** What an entry's former lives still hold in a group. */
import type {OwnershipGroupName} from '../../base/ownership-group-name.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {PartitionGroup} from './partition-group.js';

/** Parts of a member's name; the last one tells the lives at one address apart. */
const separator = '/';

/** Whose former lives are to end, and where. */
type NewLife = {readonly group: OwnershipGroupName; readonly member: string};

/**
 * Takes the places of an entry's former lives out of a group; whether there were any. A process that ends without a word holds
 * its targets until its time to live is over: after all entries were killed and had started again, callers were refused for
 * want of targets for half a second. Whoever listens at an address knows that all former lives there have ended.
 */
export async function removeFormerMembers({group, member}: NewLife, store: PartitionGroup, journal: Journal): Promise<boolean> {
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
