/** A profile at one point of its history. */
import type {Revision} from '../../base/revision.js';
import type {Profile} from './profile.js';

/** What a job is treated by from start to end; the revision is the offset of the record that made it. */
export type ProfileRevision = {
	readonly profile: Profile;
	readonly revision: Revision;
	readonly state: 'live' | 'retired';
};
