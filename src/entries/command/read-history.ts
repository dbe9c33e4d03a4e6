/** Reads the history of a profile from the log. */
import {CancellationSource} from '../../base/cancellation-source.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import {configurationRecordSchema} from '../../features/profiles/configuration-record-schema.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';
import type {StreamRecord} from '../../runtime/stream/stream-record.js';
import type {HistoryEntry} from './history-entry.js';
import {readConfiguration} from './read-configuration.js';

/** The changes of one profile that the log retains, oldest first. Rejects if the log can't be read. */
export async function readHistory(stream: LogStream, name: string): Promise<readonly HistoryEntry[]> {
	const replica = await readConfiguration(stream);
	const {changes} = replica.configuration;
	const history: HistoryEntry[] = [];
	for (const {offset, body} of await readRecords(stream)) {
		const checked = configurationRecordSchema.safeParse(body);
		if (!checked.success || checked.data.kind === 'snapshot') {
			continue;
		}

		const change = checked.data;
		const outcome = changes.get(change.changeId);
		const profileName = change.kind === 'retire' ? change.name : change.profile.name;
		if (outcome !== undefined && profileName === name) {
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
		const result = await stream.read(from, 0, token);
		if (result.kind === 'unavailable') {
			throw new Error(`the log can't be read: ${result.detail}`);
		}

		records.push(...result.page.records);
		from = ((result.page.records.at(-1)?.offset ?? result.page.nextOffset - 1) + 1) as StreamOffset;
		if (from >= result.page.nextOffset) {
			return records;
		}
	}
}
