/** The entries of a zone that share the reading of the target list. */
import type {Event} from '../../base/event.js';
import type {MemberId} from '../../base/member-id.js';
import type {ListUpdate} from './list-update.js';
import type {ListRequest} from './list-request.js';
import type {ReaderRole} from './reader-role.js';

/**
 * Selects the readers and carries messages between them and their followers. Entries may disagree about the readers: any entry that
 * gets a request reads.
 */
export abstract class ReaderGroup {
	abstract readonly role: ReaderRole;
	/** The available readers, in this entry's order of preference. */
	abstract readonly readers: readonly MemberId[];
	abstract readonly onDidReceiveRequest: Event<{readonly from: MemberId; readonly request: ListRequest}>;
	abstract readonly onDidReceiveUpdate: Event<{readonly from: MemberId; readonly update: ListUpdate}>;

	abstract sendRequest(reader: MemberId, request: ListRequest): void;

	abstract sendUpdate(requester: MemberId, update: ListUpdate): void;
}
