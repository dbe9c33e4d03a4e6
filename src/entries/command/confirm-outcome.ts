/** Converts the outcome of a change to the command's result. */
import type {Revision} from '../../base/revision.js';
import type {ChangeOutcome} from '../../features/profiles/change-outcome.js';
import {awaitRollout} from './await-rollout.js';
import type {ChangeResult} from './change-result.js';
import type {OperatorContext} from './operator-context.js';

/** Returns a rejection at once; for an accepted change, waits until the entries have applied it. */
export async function confirmOutcome(context: OperatorContext, outcome: ChangeOutcome, startedAt: number): Promise<ChangeResult> {
	if (outcome.kind === 'rejected') {
		return {kind: 'rejected', cause: outcome.cause, winner: outcome.winner};
	}

	return awaitRollout(context, outcome.offset as number as Revision, startedAt);
}
