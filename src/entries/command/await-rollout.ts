/** Waits until a change is in force. */
import type {Revision} from '../../base/revision.js';
import {wait} from '../../base/wait.js';
import type {ChangeResult} from './change-result.js';
import type {OperatorContext} from './operator-context.js';

/** The promise is 6 s; what takes longer is reported as not yet everywhere. */
const limitMilliseconds = 8000;
const periodMilliseconds = 100;

/** Asks all listed entries until each has folded the change, or the limit has passed. */
export async function awaitRollout(context: OperatorContext, revision: Revision, startedAt: number): Promise<ChangeResult> {
	const {clock, fleet} = context;
	for (;;) {
		const {entries, missing} = await fleet.checkProgress(revision + 1);
		const milliseconds = clock.now() - startedAt;
		if (missing.length === 0) {
			return {
				kind: 'inForce', revision, entries, milliseconds: Math.round(milliseconds),
			};
		}

		context.reportProgress(`in force on ${entries - missing.length} of ${entries} entries`);
		if (milliseconds > limitMilliseconds) {
			return {
				kind: 'notYetEverywhere', revision, entries, missing,
			};
		}

		await wait(clock, periodMilliseconds);
	}
}
