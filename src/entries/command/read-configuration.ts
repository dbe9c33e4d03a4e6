/** Reads the configuration from the log. */
import {CancellationSource} from '../../base/cancellation-source.js';
import {ConfigurationReplica} from '../../features/profiles/configuration-replica.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';

/** Replays the whole log. Rejects if it can't be read, or if truncated records are not covered by a snapshot. */
export async function readConfiguration(stream: LogStream): Promise<ConfigurationReplica> {
	const replica = new ConfigurationReplica();
	const {token} = new CancellationSource();
	while (!replica.isLoaded) {
		const before = replica.nextReadOffset;
		const result = await stream.read(before, 0, token);
		if (result.kind === 'unavailable') {
			throw new Error(`the log can't be read: ${result.detail}`);
		}

		replica.applyPage(result.page);
		if (!replica.isLoaded && replica.nextReadOffset === before) {
			throw new Error('the log is missing records that no snapshot covers; use the status command to query an entry');
		}
	}

	return replica;
}
