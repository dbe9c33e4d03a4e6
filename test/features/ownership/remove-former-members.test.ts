/** Memberships of an entry's former processes. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {OwnershipGroupName} from '../../../src/base/ownership-group-name.js';
import {removeFormerMembers} from '../../../src/features/ownership/remove-former-members.js';
import {InMemoryPartitionGroup} from '../../support/in-memory-partition-group.js';
import {RecordingJournal} from '../../support/recording-journal.js';

const group = 'targets.a' as OwnershipGroupName;
const formerMember = 'a/10.1.0.2:81/k1';
const newMember = 'a/10.1.0.2:81/k2';
const others = ['a/10.1.0.2:8166/k1', 'a/10.1.0.3:81/k1'];

async function groupOf(members: readonly string[]): Promise<InMemoryPartitionGroup> {
	const store = new InMemoryPartitionGroup();
	for (const member of members) {
		await store.join(group, member, 0);
	}

	return store;
}

// After all entries of a zone were killed and restarted, their former members would hold all targets until they expire.
test('a restarted entry gets its former targets at once', async () => {
	const store = await groupOf([formerMember]);
	assert.equal((await store.join(group, newMember, 0))!.partitions.size, 0);
	assert.equal(await removeFormerMembers({group, member: newMember}, store, new RecordingJournal()), true);
	assert.equal((await store.join(group, newMember, 100))!.partitions.size, store.partitionCount);
});

test('members with other addresses, and the entry itself, are not removed', async () => {
	const store = await groupOf([...others, newMember]);
	const before = await store.holders(group);
	assert.equal(await removeFormerMembers({group, member: newMember}, store, new RecordingJournal()), false);
	assert.deepEqual(await store.holders(group), before);
});

test('nothing is removed while the store is unavailable', async () => {
	const store = await groupOf([formerMember]);
	store.isUnavailable = true;
	assert.equal(await removeFormerMembers({group, member: newMember}, store, new RecordingJournal()), false);
});
