/** The profiles in force at this entry. */
import type {ProfileName} from '../../base/profile-name.js';
import type {Event} from '../../base/event.js';
import type {Configuration} from './configuration.js';
import type {ProfileRevision} from './profile-revision.js';

/** Read by the features that treat jobs. What it gives never goes back to an earlier offset. */
export abstract class ProfileService {
	/** False until the first configuration has come from the log or from a peer. */
	abstract readonly isLoaded: boolean;

	abstract readonly configuration: Configuration;

	/** Fires after each step forward. */
	abstract readonly onDidChangeConfiguration: Event<Configuration>;

	abstract profileNamed(name: ProfileName): ProfileRevision | undefined;
}
