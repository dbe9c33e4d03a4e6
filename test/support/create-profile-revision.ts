/** Profile revisions for tests. */
import type {Revision} from '../../src/base/revision.js';
import {profileSchema} from '../../src/features/profiles/profile-schema.js';
import type {ProfileRevision} from '../../src/features/profiles/profile-revision.js';

/** Creates revision 0 of a live profile with the given keys and defaults for the rest. */
export function createProfileRevision(keys: Record<string, unknown> = {}): ProfileRevision {
	return {profile: profileSchema.parse({name: 'flight-desk', ...keys}), revision: 0 as Revision, state: 'live'};
}
