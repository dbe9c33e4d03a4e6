/** Slot leased to an entry. */
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {TicketId} from '../../base/ticket-id.js';

/** One slot of one target, leased for one task. The target has stopped the task by the time the lease expires. */
export type LeasedSlot = {
	readonly requester: MemberId;
	readonly ticket: TicketId;
	readonly target: InstanceId;
	readonly profile: ProfileName;
	readonly job: SubmissionId;
	readonly grantedAt: number;
	readonly leaseEndsAt: number;
	readonly memoryMegabytes: number;
	readonly accelerators: number;
	/**
	 * Set if the requester is gone or lost contact with the task. The slot is freed when the lease expires or the
	 * target reports that the task has ended.
	 */
	isOrphaned: boolean;
};
