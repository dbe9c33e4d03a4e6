/** The records of a registrar, bounded in time and in bytes. */
import type {JobAnswer} from '../../base/job-answer.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {SubmissionRecord} from './submission-record.js';

/** What a record takes besides its answer, roughly. */
const bytesPerRecord = 600;
/** Two bytes a character, as strings are kept. */
const bytesPerCharacter = 2;

const forgotten: Verdict<JobAnswer> = {kind: 'mayHaveRun', cause: 'answerForgotten', detail: 'the submission was run; its answer is no longer kept'};

/**
 * Remembers each submission until its time has passed. Short of memory, it drops the oldest answers first, but not the
 * records: what was run stays known to have been. When records alone fill the memory, there's no room for a new one.
 */
export class RecordStore {
	readonly #records = new Map<SubmissionId, SubmissionRecord>();
	#bytes = 0;

	constructor(private readonly limitBytes: number) {}

	get size(): number {
		return this.#records.size;
	}

	get bytes(): number {
		return this.#bytes;
	}

	get hasRoom(): boolean {
		return this.#bytes + bytesPerRecord <= this.limitBytes;
	}

	get(id: SubmissionId): SubmissionRecord | undefined {
		return this.#records.get(id);
	}

	all(): IterableIterator<SubmissionRecord> {
		return this.#records.values();
	}

	put(record: Omit<SubmissionRecord, 'bytes'>): SubmissionRecord {
		this.delete(record.id);
		const stored = {...record, bytes: sizeOf(record.verdict)};
		this.#records.set(record.id, stored);
		this.#bytes += stored.bytes;
		this.#dropAnswers();
		return stored;
	}

	delete(id: SubmissionId): void {
		const record = this.#records.get(id);
		if (record !== undefined) {
			this.#records.delete(id);
			this.#bytes -= record.bytes;
		}
	}

	/** Forgets what has expired; the running ones that have are returned, since somebody may wait for them. */
	expire(now: number): readonly SubmissionRecord[] {
		const givenUp: SubmissionRecord[] = [];
		for (const record of this.#records.values()) {
			if (record.expiresAt > now) {
				continue;
			}

			if (record.verdict === undefined) {
				givenUp.push(record);
			} else {
				this.delete(record.id);
			}
		}

		return givenUp;
	}

	#dropAnswers(): void {
		for (const record of this.#records.values()) {
			if (this.#bytes <= this.limitBytes) {
				return;
			}

			if (record.verdict?.kind === 'answered') {
				this.#bytes -= record.bytes;
				record.verdict = forgotten;
				record.bytes = sizeOf(forgotten);
				this.#bytes += record.bytes;
			}
		}
	}
}

function sizeOf(verdict: Verdict<JobAnswer> | undefined): number {
	const characters = verdict?.kind === 'answered' ? JSON.stringify(verdict).length : 0;
	return bytesPerRecord + (characters * bytesPerCharacter);
}
