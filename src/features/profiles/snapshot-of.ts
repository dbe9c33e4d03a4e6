/** Turns a configuration into the record that stands for it. */
import type {Configuration} from './configuration.js';
import type {ConfigurationRecord} from './configuration-record.js';

/** The snapshot record of a state. */
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
