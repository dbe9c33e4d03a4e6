/** Waits until all entries have applied a change. */
import type {Revision} from '../../base/revision.js';
import {wait} from '../../base/wait.js';
import type {ChangeResult} from './change-result.js';
import type {OperatorContext} from './operator-context.js';

/** Changes normally reach all entries within 6 s; after this limit the missing entries are reported. */
const rolloutLimitMilliseconds = 8000;
const pollIntervalMilliseconds = 100;

/** Polls all listed entries until each has applied the change or the limit has passed. */
export async function awaitRollout(context: OperatorContext, revision: Revision, startedAt: number): Promise<ChangeResult> {
	const {clock, fleet} = context;
	for (;;) {
		const {entries, missing} = await fleet.checkProgress(revision + 1);
		const elapsed = clock.now() - startedAt;
		if (missing.length === 0) {
			return {
				kind: 'inForce', revision, entries, milliseconds: Math.round(elapsed),
			};
		}

		context.reportProgress(`in force on ${entries - missing.length} of ${entries} entries`);
		if (elapsed > rolloutLimitMilliseconds) {
			return {
				kind: 'notYetEverywhere', revision, entries, missing,
			};
		}

		await wait(clock, pollIntervalMilliseconds);
	}
}
