/** What an entry that starts again finds of its former lives. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {OwnershipGroupName} from '../../../src/base/ownership-group-name.js';
import {removeFormerMembers} from '../../../src/features/ownership/remove-former-members.js';
import {ModelGroup} from '../../support/model-group.js';
import {RecordingJournal} from '../../support/recording-journal.js';

const group = 'targets.a' as OwnershipGroupName;
const formerLife = 'a/10.1.0.2:81/k1';
const newLife = 'a/10.1.0.2:81/k2';
const others = ['a/10.1.0.2:8166/k1', 'a/10.1.0.3:81/k1'];

async function groupOf(members: readonly string[]): Promise<ModelGroup> {
	const store = new ModelGroup();
	for (const member of members) {
		await store.join(group, member, 0);
	}

	return store;
}

// All entries of a zone are killed and start again within a second. In the group their former lives hold all targets for
// longer than that, so that nobody starts anything, and callers are refused.
test('an entry that starts again has its former life\'s targets at once', async () => {
	const store = await groupOf([formerLife]);
	assert.equal((await store.join(group, newLife, 0))!.partitions.size, 0);
	assert.equal(await removeFormerMembers({group, member: newLife}, store, new RecordingJournal()), true);
	assert.equal((await store.join(group, newLife, 100))!.partitions.size, store.partitionCount);
});

test('the places of other addresses, and its own, stay as they are', async () => {
	const store = await groupOf([...others, newLife]);
	const before = await store.holders(group);
	assert.equal(await removeFormerMembers({group, member: newLife}, store, new RecordingJournal()), false);
	assert.deepEqual(await store.holders(group), before);
});

test('while the store is away nothing is ended', async () => {
	const store = await groupOf([formerLife]);
	store.isAway = true;
	assert.equal(await removeFormerMembers({group, member: newLife}, store, new RecordingJournal()), false);
});
