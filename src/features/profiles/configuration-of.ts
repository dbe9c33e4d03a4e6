/** Turns a snapshot back into a configuration. */
import type {Configuration} from './configuration.js';
import type {ConfigurationRecord} from './configuration-record.js';

/** The state before the record at the snapshot's `upTo`. */
export function configurationOf(snapshot: Extract<ConfigurationRecord, {kind: 'snapshot'}>): Configuration {
	return {
		nextOffset: snapshot.upTo,
		digest: snapshot.digest,
		profiles: new Map(snapshot.profiles.map(revision => [revision.profile.name, revision])),
		changes: new Map(snapshot.changes.map(outcome => [outcome.changeId, outcome])),
	};
}
