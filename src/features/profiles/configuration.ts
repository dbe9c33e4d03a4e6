/** State derived from the configuration stream. */
import type {ProfileName} from '../../base/profile-name.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import type {ChangeOutcome} from './change-outcome.js';
import type {ProfileRevision} from './profile-revision.js';

/** Immutable; identical for all readers that folded the records before `nextOffset`. */
export type Configuration = {
	readonly nextOffset: StreamOffset;
	/** Hash chain over the folded records; equal digests mean that the same records were folded. */
	readonly digest: string;
	readonly profiles: ReadonlyMap<ProfileName, ProfileRevision>;
	/** Outcomes of the latest changes, oldest first, by change id. */
	readonly changes: ReadonlyMap<string, ChangeOutcome>;
};
