/** The owner's state of a run on a target. */
import type {MemberId} from '../../base/member-id.js';
import type {RunRequest} from './run-request.js';

/**
 * - `starting`: the start order is unanswered.
 * - `running`: the target has confirmed the start.
 * - `stopping`: a stop was requested; `stopConfirmedAtStep` is set once the target has accepted it.
 */
export type Run = {
	readonly request: RunRequest;
	/** The entry that has the job. */
	readonly requester: MemberId;
	/** Factor by which the run takes longer on this target than near its data; 1 or more. */
	readonly slowdown: number;
	/** Whether the run was adopted from a former owner, so that its run time isn't known. */
	readonly isAdopted?: true;
	/** Whether the requester knows which entry runs the task; false for an adopted run until the requester acknowledges its new owner. */
	isAcknowledged: boolean;
	state: 'starting' | 'running' | 'stopping';
	/** Monotonic. */
	startedAt: number;
	/** The session's step at which the target confirmed the start. */
	confirmedAtStep: number | undefined;
	stopConfirmedAtStep: number | undefined;
	stopCause: string | undefined;
	/** Since when nobody waits for the run; monotonic. */
	abandonedAt: number | undefined;
	/** When the stop was requested; monotonic. */
	stopRequestedAt: number | undefined;
};
