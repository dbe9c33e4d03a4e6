/** Appends an operator's change and finds out what became of it. */
import {CancellationSource} from '../../base/cancellation-source.js';
import type {JsonValue} from '../../base/json-value.js';
import type {ConfigurationRecord} from '../../features/profiles/configuration-record.js';
import type {ChangeResult} from './change-result.js';
import {findOutcome} from './find-outcome.js';
import type {OperatorContext} from './operator-context.js';
import {confirmOutcome} from './confirm-outcome.js';

/** Appends of one change; a second one does no harm, since the fold knows the change by its id. */
const appendAttempts = 3;

type Change = Exclude<ConfigurationRecord, {kind: 'snapshot'}>;

/** Ends with the change in force everywhere, or with what is known instead. */
export async function appendChange(context: OperatorContext, change: Change): Promise<ChangeResult> {
	const startedAt = context.clock.now();
	let detail = '';
	for (let attempt = 0; attempt < appendAttempts; attempt++) {
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
