/** Test fixture: an arbiter, its targets and a recorder of its replies. */
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {Random} from '../../../src/base/random.js';
import type {SubmissionId} from '../../../src/base/submission-id.js';
import type {TicketId} from '../../../src/base/ticket-id.js';
import {Arbiter} from '../../../src/features/placement/arbiter.js';
import type {PlacementReply} from '../../../src/features/placement/placement-reply.js';
import type {PlacementRequest} from '../../../src/features/placement/placement-request.js';
import {placementPolicies} from '../../../src/features/placement/placement-policies.js';
import '../../../src/features/placement/policies/late-binding.js';
import type {Instance} from '../../../src/runtime/instances/instance.js';
import {FakeClock} from '../../support/fake-clock.js';
import {RecordingJournal} from '../../support/recording-journal.js';

type Want = Extract<PlacementRequest, {kind: 'want'}>;
type Sent = {readonly to: MemberId; readonly reply: PlacementReply};

/** Default requester. */
export const entry = 'entry-1#1' as MemberId;

/** By default, two targets with two slots each, so that tests can exhaust the slots. */
export class ArbiterFixture {
	readonly clock = new FakeClock();
	readonly journal = new RecordingJournal();
	readonly sent: Sent[] = [];
	mayGrant = true;
	readonly arbiter: Arbiter;

	constructor(readonly targets: readonly Instance[] = [targetOf('target-1'), targetOf('target-2')]) {
		this.arbiter = new Arbiter({
			zone: 'zone-1' as AvailabilityZone,
			policy: placementPolicies.get('late-binding')!,
			clock: this.clock,
			random: new Random(1),
			journal: this.journal,
			sendReply: (to, reply) => {
				this.sent.push({to, reply});
			},
			canGrant: () => this.mayGrant,
		});
		this.arbiter.setTargets(targets);
	}

	/** Granted tickets with their targets, in order. */
	get granted(): ReadonlyArray<readonly [string, string]> {
		return this.sent.flatMap(({reply}) => reply.kind === 'granted' ? reply.grants.map(grant => [grant.ticket, grant.target.id] as const) : []);
	}

	get refusals(): ReadonlyArray<Extract<PlacementReply, {kind: 'refused'}>> {
		return this.sent.flatMap(({reply}) => reply.kind === 'refused' ? [reply] : []);
	}

	request(request: PlacementRequest, from = entry): void {
		this.arbiter.receive(from, this.clock.now(), request);
	}

	want(job: string, tasks: number, keys: Partial<Want> = {}, from = entry): void {
		this.request(wantOf(job, tasks, keys), from);
	}

	release(ticket: string, outcome: 'result' | 'failure' | 'refused' | 'lost' | 'unused' = 'result', runMilliseconds = 100, from = entry): void {
		this.request({
			kind: 'release', ticket: ticket as TicketId, outcome, runMilliseconds,
		}, from);
	}
}

/** A live target of zone-1 with two slots. */
export function targetOf(id: string, keys: Partial<Instance> = {}): Instance {
	return {
		id: id as InstanceId, kind: 'target', zone: 'zone-1' as AvailabilityZone, address: '127.0.0.1:1', state: 'live', slots: 2, memoryMegabytes: 1000, ...keys,
	};
}

/** A request for slots for the given number of tasks of a job. */
export function wantOf(job: string, tasks: number, keys: Partial<Want> = {}): Want {
	return {
		kind: 'want',
		job: job as SubmissionId,
		profile: 'flight-desk' as ProfileName,
		weight: 10,
		limits: {},
		remainingMilliseconds: 10_000,
		limitMilliseconds: 5000,
		isAdmitted: false,
		tasks: Array.from({length: tasks}, (_, index) => ({
			ticket: `${job}/${index}:0` as TicketId, memoryMegabytes: 0, accelerators: 0, labels: [], avoided: [], excluded: [],
		})),
		...keys,
	};
}
