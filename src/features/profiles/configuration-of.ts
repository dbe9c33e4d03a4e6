/** Restores a configuration from a snapshot. */
import type {Configuration} from './configuration.js';
import type {ConfigurationRecord} from './configuration-record.js';

/** Returns the configuration before the record at offset `upTo`. */
export function configurationOf(snapshot: Extract<ConfigurationRecord, {kind: 'snapshot'}>): Configuration {
	return {
		nextOffset: snapshot.upTo,
		digest: snapshot.digest,
		profiles: new Map(snapshot.profiles.map(revision => [revision.profile.name, revision])),
		changes: new Map(snapshot.changes.map(outcome => [outcome.changeId, outcome])),
	};
}
