/** The state that the configuration stream amounts to. */
import type {ProfileName} from '../../base/profile-name.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import type {ChangeOutcome} from './change-outcome.js';
import type {ProfileRevision} from './profile-revision.js';

/** Immutable; every reader that folded the records before `nextOffset` has the same. */
export type Configuration = {
	readonly nextOffset: StreamOffset;
	/** Hash chain over the folded records; equal exactly where the same records were folded. */
	readonly digest: string;
	readonly profiles: ReadonlyMap<ProfileName, ProfileRevision>;
	/** Outcomes of the latest changes, oldest first, by change id. */
	readonly changes: ReadonlyMap<string, ChangeOutcome>;
};
