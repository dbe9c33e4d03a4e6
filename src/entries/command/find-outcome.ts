/** Looks a change up in the log. */
import type {ChangeOutcome} from '../../features/profiles/change-outcome.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';
import {readConfiguration} from './read-configuration.js';

/** What the log says of a change by its id; nothing where it can't be read, or has no such change. */
export async function findOutcome(stream: LogStream, changeId: string): Promise<ChangeOutcome | undefined> {
	try {
		const ledger = await readConfiguration(stream);
		return ledger.configuration.changes.get(changeId);
	} catch {
		return undefined;
	}
}
