/** The entries of a zone that share the reading of the list of targets. */
import type {Event} from '../../base/event.js';
import type {MemberId} from '../../base/member-id.js';
import type {ListUpdate} from './list-update.js';
import type {ListRequest} from './list-request.js';
import type {ReaderRole} from './reader-role.js';

/** Who reads for whom, and the way between them. Entries needn't agree on it: one that is asked reads. */
export abstract class ReaderGroup {
	abstract readonly role: ReaderRole;
	/** The entries that can be asked, in this entry's order. */
	abstract readonly readers: readonly MemberId[];
	abstract readonly onDidReceiveRequest: Event<{readonly from: MemberId; readonly request: ListRequest}>;
	abstract readonly onDidReceiveUpdate: Event<{readonly from: MemberId; readonly update: ListUpdate}>;

	abstract sendRequest(reader: MemberId, request: ListRequest): void;

	abstract sendUpdate(requester: MemberId, update: ListUpdate): void;
}
