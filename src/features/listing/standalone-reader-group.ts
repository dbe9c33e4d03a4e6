/** A group of a single entry. */
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import type {ListUpdate} from './list-update.js';
import type {ListRequest} from './list-request.js';
import {ReaderGroup} from './reader-group.js';

/** For an entry that reads for itself only. */
export class StandaloneReaderGroup extends ReaderGroup {
	override readonly role = 'alone';
	override readonly readers = [];
	override readonly onDidReceiveRequest = new Emitter<{readonly from: MemberId; readonly request: ListRequest}>().event;
	override readonly onDidReceiveUpdate = new Emitter<{readonly from: MemberId; readonly update: ListUpdate}>().event;

	override sendRequest(): void {
		// There are no other entries.
	}

	override sendUpdate(): void {
		// There are no other entries.
	}
}
