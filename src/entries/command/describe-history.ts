/** Formats a profile's history as text. */
import type {HistoryEntry} from './history-entry.js';

/** One line with the offset, time, operator, change and outcome. */
export function describeHistory({offset, change, outcome}: HistoryEntry): string {
	const when = change.at === 0 ? 'at an unknown time' : new Date(change.at).toISOString();
	const base = change.kind === 'publish' ? '' : ` based on ${change.base}`;
	const result = outcome.kind === 'accepted' ? `accepted as revision ${outcome.offset}` : `rejected: ${outcome.cause}`;
	return `${offset}  ${when}  ${change.operator || '(unnamed)'}  ${change.kind}${base}  ${result}`;
}
