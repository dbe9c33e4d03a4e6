/** Finds the outcome of a change in the log. */
import type {ChangeOutcome} from '../../features/profiles/change-outcome.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';
import {readConfiguration} from './read-configuration.js';

/** The outcome of the change with the given id, or undefined if the log can't be read or doesn't contain it. */
export async function findOutcome(stream: LogStream, changeId: string): Promise<ChangeOutcome | undefined> {
	try {
		const replica = await readConfiguration(stream);
		return replica.configuration.changes.get(changeId);
	} catch {
		return undefined;
	}
}
