/** An entry that shares its reading with nobody. */
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import type {ListUpdate} from './list-update.js';
import type {ListRequest} from './list-request.js';
import {ReaderGroup} from './reader-group.js';

export class StandaloneReaderGroup extends ReaderGroup {
	override readonly role = 'alone';
	override readonly readers = [];
	override readonly onDidReceiveRequest = new Emitter<{readonly from: MemberId; readonly request: ListRequest}>().event;
	override readonly onDidReceiveUpdate = new Emitter<{readonly from: MemberId; readonly update: ListUpdate}>().event;

	override sendRequest(): void {
		// There is nobody.
	}

	override sendUpdate(): void {
		// There is nobody.
	}
}
