/** An entry that shares its reading with nobody. */
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import type {ListPassage} from './list-passage.js';
import type {ListQuestion} from './list-question.js';
import {ReadingCircle} from './reading-circle.js';

export class LoneCircle extends ReadingCircle {
	override readonly role = 'alone';
	override readonly readers = [];
	override readonly onDidAsk = new Emitter<{readonly from: MemberId; readonly question: ListQuestion}>().event;
	override readonly onDidAnswer = new Emitter<{readonly from: MemberId; readonly passage: ListPassage}>().event;

	override ask(): void {
		// There is nobody.
	}

	override answer(): void {
		// There is nobody.
	}
}
