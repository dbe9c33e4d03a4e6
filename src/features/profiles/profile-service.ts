/** Access to the profiles that apply at this entry. */
import type {ProfileName} from '../../base/profile-name.js';
import type {Event} from '../../base/event.js';
import type {Configuration} from './configuration.js';
import type {ProfileRevision} from './profile-revision.js';

/** Provides the current configuration, whose offset never decreases. */
export abstract class ProfileService {
	/** False until the configuration has been loaded from the log or from a peer. */
	abstract readonly isLoaded: boolean;

	abstract readonly configuration: Configuration;

	/** Fires after the configuration has advanced. */
	abstract readonly onDidChangeConfiguration: Event<Configuration>;

	abstract profileNamed(name: ProfileName): ProfileRevision | undefined;
}
