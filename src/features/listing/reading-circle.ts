/** The entries of a zone that share the reading of the list of targets. */
import type {Event} from '../../base/event.js';
import type {MemberId} from '../../base/member-id.js';
import type {ListPassage} from './list-passage.js';
import type {ListQuestion} from './list-question.js';
import type {ReadingRole} from './reading-role.js';

/** Who reads for whom, and the way between them. Entries needn't agree on it: one that is asked reads. */
export abstract class ReadingCircle {
	abstract readonly role: ReadingRole;
	/** The entries that can be asked, in this entry's order. */
	abstract readonly readers: readonly MemberId[];
	abstract readonly onDidAsk: Event<{readonly from: MemberId; readonly question: ListQuestion}>;
	abstract readonly onDidAnswer: Event<{readonly from: MemberId; readonly passage: ListPassage}>;

	abstract ask(reader: MemberId, question: ListQuestion): void;

	abstract answer(asker: MemberId, passage: ListPassage): void;
}
