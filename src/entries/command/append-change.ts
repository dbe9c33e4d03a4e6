/** Appends an operator's change to the log and waits for its outcome. */
import {CancellationSource} from '../../base/cancellation-source.js';
import type {JsonValue} from '../../base/json-value.js';
import type {ConfigurationRecord} from '../../features/profiles/configuration-record.js';
import type {ChangeResult} from './change-result.js';
import {findOutcome} from './find-outcome.js';
import type {OperatorContext} from './operator-context.js';
import {confirmOutcome} from './confirm-outcome.js';

/** Attempts to append a change. Repeating one is safe: replicas ignore duplicates by change id. */
const maxAppendAttempts = 3;

type Change = Exclude<ConfigurationRecord, {kind: 'snapshot'}>;

/** Resolves once the change has been applied by all entries, or with the outcome known so far. */
export async function appendChange(context: OperatorContext, change: Change): Promise<ChangeResult> {
	const startedAt = context.clock.now();
	let detail = '';
	for (let attempt = 0; attempt < maxAppendAttempts; attempt++) {
		context.reportProgress(`appending change ${change.changeId}`);
		const appended = await context.stream.append(change, new CancellationSource().token);
		if (appended.kind === 'notAppended') {
			return attempt === 0 ? {kind: 'notAppended', detail: appended.detail} : {kind: 'unknown', changeId: change.changeId, detail: appended.detail};
		}

		detail = appended.kind === 'unknown' ? appended.detail : '';
		const outcome = await findOutcome(context.stream, change.changeId);
		if (outcome !== undefined) {
			return confirmOutcome(context, outcome, startedAt);
		}
	}

	return {kind: 'unknown', changeId: change.changeId, detail};
}
