/** Converts a configuration to a snapshot record. */
import type {Configuration} from './configuration.js';
import type {ConfigurationRecord} from './configuration-record.js';

/** Returns the snapshot record of a configuration. */
export function snapshotOf(configuration: Configuration): Extract<ConfigurationRecord, {kind: 'snapshot'}> {
	return {
		kind: 'snapshot',
		version: 1,
		upTo: configuration.nextOffset,
		digest: configuration.digest,
		profiles: [...configuration.profiles.values()],
		changes: [...configuration.changes.values()],
	};
}
