/** Stores the records of a registrar, bounded in time and memory. */
import type {JobAnswer} from '../../base/job-answer.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {SubmissionRecord} from './submission-record.js';

/** Approximate memory of a record without its answer. */
const bytesPerRecord = 600;
/** Strings may be stored as UTF-16. */
const bytesPerCharacter = 2;

const droppedAnswerVerdict: Verdict<JobAnswer> = {kind: 'mayHaveRun', cause: 'answerForgotten', detail: 'the submission was run; its answer is no longer kept'};

/**
 * Keeps each record until it expires. At the memory limit it drops the oldest answers but keeps their records, so that
 * the submissions remain known. If the records alone reach the limit, no new ones are accepted.
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

	/** Deletes expired settled records, and returns expired running ones, for which claims may be waiting. */
	expire(now: number): readonly SubmissionRecord[] {
		const expiredRuns: SubmissionRecord[] = [];
		for (const record of this.#records.values()) {
			if (record.expiresAt > now) {
				continue;
			}

			if (record.verdict === undefined) {
				expiredRuns.push(record);
			} else {
				this.delete(record.id);
			}
		}

		return expiredRuns;
	}

	#dropAnswers(): void {
		for (const record of this.#records.values()) {
			if (this.#bytes <= this.limitBytes) {
				return;
			}

			if (record.verdict?.kind === 'answered') {
				this.#bytes -= record.bytes;
				record.verdict = droppedAnswerVerdict;
				record.bytes = sizeOf(droppedAnswerVerdict);
				this.#bytes += record.bytes;
			}
		}
	}
}

function sizeOf(verdict: Verdict<JobAnswer> | undefined): number {
	const characters = verdict?.kind === 'answered' ? JSON.stringify(verdict).length : 0;
	return bytesPerRecord + (characters * bytesPerCharacter);
}
