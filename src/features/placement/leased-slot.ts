/** A slot that is lent out. */
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {TicketId} from '../../base/ticket-id.js';

/** One slot of one target, lent for one task; at the lease's end the target has stopped the task for certain. */
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
	/** The requester is gone or lost sight of its task; the slot is free when the lease ends or the target says that the task has. */
	isOrphaned: boolean;
};
