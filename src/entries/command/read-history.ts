/** Reads what became of the changes that the log still holds. */
import {CancellationSource} from '../../base/cancellation-source.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import {configurationRecordSchema} from '../../features/profiles/configuration-record-schema.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';
import type {StreamRecord} from '../../runtime/stream/stream-record.js';
import type {HistoryEntry} from './history-entry.js';
import {readConfiguration} from './read-configuration.js';

/** The changes of one profile, oldest first; rejects where the log can't be read. */
export async function readHistory(stream: LogStream, name: string): Promise<readonly HistoryEntry[]> {
	const ledger = await readConfiguration(stream);
	const {changes} = ledger.configuration;
	const history: HistoryEntry[] = [];
	for (const {offset, body} of await readRecords(stream)) {
		const checked = configurationRecordSchema.safeParse(body);
		if (!checked.success || checked.data.kind === 'snapshot') {
			continue;
		}

		const change = checked.data;
		const outcome = changes.get(change.changeId);
		const changed = change.kind === 'retire' ? change.name : change.profile.name;
		if (outcome !== undefined && changed === name) {
			history.push({offset, change, outcome});
		}
	}

	return history;
}

async function readRecords(stream: LogStream): Promise<readonly StreamRecord[]> {
	const records: StreamRecord[] = [];
	const {token} = new CancellationSource();
	let from = 0 as StreamOffset;
	for (;;) {
		const reading = await stream.read(from, 0, token);
		if (reading.kind === 'unavailable') {
			throw new Error(`the log can't be read: ${reading.detail}`);
		}

		records.push(...reading.page.records);
		from = ((reading.page.records.at(-1)?.offset ?? reading.page.nextOffset - 1) + 1) as StreamOffset;
		if (from >= reading.page.nextOffset) {
			return records;
		}
	}
}
