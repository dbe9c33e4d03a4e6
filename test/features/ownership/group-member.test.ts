/** How quickly an entry gets its share of a group. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {OwnershipGroupName} from '../../../src/base/ownership-group-name.js';
import {GroupMember} from '../../../src/features/ownership/group-member.js';
import type {PartitionGrant} from '../../../src/features/ownership/partition-grant.js';
import {PartitionGroup} from '../../../src/features/ownership/partition-group.js';
import {FakeClock} from '../../support/fake-clock.js';
import {passTime} from '../../support/pass-time.js';
import {RecordingJournal} from '../../support/recording-journal.js';

/** Gives out its partitions from a certain time on: until then a former life of some entry holds them. */
class LapsingGroup extends PartitionGroup {
	override readonly partitionCount = 24;
	joins = 0;

	constructor(private readonly clock: FakeClock, private readonly lapsesAt: number) {
		super();
	}

	override async join(): Promise<PartitionGrant> {
		this.joins += 1;
		const partitions = this.clock.now() < this.lapsesAt ? [] : Array.from({length: this.partitionCount}, (_, index) => index);
		return {generation: 1, partitions: new Set(partitions)};
	}

	override async holders(): Promise<undefined> {
		return undefined;
	}

	override async leave(): Promise<void> {
		// The only member doesn't leave here.
	}
}

function memberOf(lapsesAfter: number) {
	const clock = new FakeClock();
	const store = new LapsingGroup(clock, clock.now() + lapsesAfter);
	const member = new GroupMember({
		group: 'g' as OwnershipGroupName,
		member: 'a',
		store,
		clock,
		journal: new RecordingJournal(),
		listener: {
			onDidChangeClaim() {
				// Only the claim itself is looked at.
			},
			async onWillRelease() {
				// Nothing is released.
			},
		},
	});
	member.renew();
	return {clock, store, member};
}

// All entries lose power and are back within two seconds. Their former lives' places in the group lapse a moment after the
// first renewal, and the targets stand idle until the next one.
test('a share that becomes free just after the start is had at once', async () => {
	const {clock, member} = memberOf(100);
	await passTime(clock, 200);
	assert.equal(member.claim?.partitions.size, 24);
});

test('a group that has settled costs three renewals a second', async () => {
	const {clock, store} = memberOf(0);
	await passTime(clock, 3000);
	store.joins = 0;
	await passTime(clock, 3000);
	assert.equal(store.joins <= 11, true);
});
