/** Reads the configuration from the log. */
import {CancellationSource} from '../../base/cancellation-source.js';
import {ConfigurationReplica} from '../../features/profiles/configuration-replica.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';

/** Folds the whole log; rejects where it can't be read, or doesn't tell the whole configuration any more. */
export async function readConfiguration(stream: LogStream): Promise<ConfigurationReplica> {
	const ledger = new ConfigurationReplica();
	const {token} = new CancellationSource();
	while (!ledger.isLoaded) {
		const before = ledger.nextReadOffset;
		const reading = await stream.read(before, 0, token);
		if (reading.kind === 'unavailable') {
			throw new Error(`the log can't be read: ${reading.detail}`);
		}

		ledger.applyPage(reading.page);
		if (!ledger.isLoaded && ledger.nextReadOffset === before) {
			throw new Error('the log has lost records that no snapshot stands for; ask an entry for its status');
		}
	}

	return ledger;
}
