/** A run on a target, as its owner keeps it. */
import type {MemberId} from '../../base/member-id.js';
import type {RunRequest} from './run-request.js';

/**
 * - `starting`: the order is under way, and its answer isn't there.
 * - `running`: the target confirmed it.
 * - `stopping`: it's to end; `stopConfirmedAtStep` is set once the target has accepted the stop.
 */
export type Run = {
	readonly request: RunRequest;
	/** The entry whose job it belongs to. */
	readonly requester: MemberId;
	/** So many times as long as expected it takes on this target, being far from its data. */
	readonly slowdown: number;
	state: 'starting' | 'running' | 'stopping';
	startedAt: number;
	/** The step of its session at which the target's confirmation came; none before it. */
	confirmedAtStep: number | undefined;
	stopConfirmedAtStep: number | undefined;
	stopCause: string | undefined;
};
