/** One revision of a profile. */
import type {Revision} from '../../base/revision.js';
import type {Profile} from './profile.js';

/** Applies to a job for its whole lifetime. The revision is the offset of the record that created it. */
export type ProfileRevision = {
	readonly profile: Profile;
	readonly revision: Revision;
	readonly state: 'live' | 'retired';
};
