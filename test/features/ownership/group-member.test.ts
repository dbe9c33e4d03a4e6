/** Renewal intervals of a group's member. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {OwnershipGroupName} from '../../../src/base/ownership-group-name.js';
import {GroupMember} from '../../../src/features/ownership/group-member.js';
import type {PartitionGrant} from '../../../src/features/ownership/partition-grant.js';
import {PartitionGroup} from '../../../src/features/ownership/partition-group.js';
import {FakeClock} from '../../support/fake-clock.js';
import {advanceClock} from '../../support/advance-clock.js';
import {RecordingJournal} from '../../support/recording-journal.js';

/** Assigns its partitions from a given time on; until then a former member holds them. */
class ExpiringGroup extends PartitionGroup {
	override readonly partitionCount = 24;
	joins = 0;

	constructor(private readonly clock: FakeClock, private readonly expiresAt: number) {
		super();
	}

	override async join(): Promise<PartitionGrant> {
		this.joins += 1;
		const partitions = this.clock.now() < this.expiresAt ? [] : Array.from({length: this.partitionCount}, (_, index) => index);
		return {generation: 1, partitions: new Set(partitions)};
	}

	override async holders(): Promise<undefined> {
		return undefined;
	}

	override async leave(): Promise<void> {
		// Not used by these tests.
	}
}

function memberOf(expiresAfterMilliseconds: number) {
	const clock = new FakeClock();
	const store = new ExpiringGroup(clock, clock.now() + expiresAfterMilliseconds);
	const member = new GroupMember({
		group: 'g' as OwnershipGroupName,
		member: 'a',
		store,
		clock,
		journal: new RecordingJournal(),
		listener: {
			onDidChangeClaim() {
				// The tests read the claim itself.
			},
			async onWillRelease() {
				// No partition is lost in these tests.
			},
		},
	});
	member.renew();
	return {clock, store, member};
}

// Former members may expire just after the first renewal; their targets must not stay unused until the next regular one.
test('a share that becomes free just after the start is had at once', async () => {
	const {clock, member} = memberOf(100);
	await advanceClock(clock, 200);
	assert.equal(member.claim?.partitions.size, 24);
});

test('a member of a stable group renews about three times a second', async () => {
	const {clock, store} = memberOf(0);
	await advanceClock(clock, 3000);
	store.joins = 0;
	await advanceClock(clock, 3000);
	assert.equal(store.joins <= 11, true);
});
