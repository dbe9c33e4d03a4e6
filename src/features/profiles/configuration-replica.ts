/** Replica of the configuration whose offset never decreases. */
import type {StreamOffset} from '../../base/stream-offset.js';
import type {StreamPage} from '../../runtime/stream/stream-page.js';
import type {StreamRecord} from '../../runtime/stream/stream-record.js';
import type {ApplyResult} from './apply-result.js';
import type {Configuration} from './configuration.js';
import {configurationOf} from './configuration-of.js';
import type {ConfigurationRecord} from './configuration-record.js';
import {configurationRecordSchema} from './configuration-record-schema.js';
import {emptyConfiguration} from './empty-configuration.js';
import type {FoldResult} from './fold-result.js';
import {foldRecord} from './fold-record.js';
import type {SourceProblem} from './source-problem.js';

/** Recent records kept to update peers that lag slightly and to detect a log whose records were replaced. */
const maxTailRecords = 500;
/** Records buffered after a gap in the log until a snapshot covers the gap. */
const maxGapRecords = 20_000;

type Snapshot = Extract<ConfigurationRecord, {kind: 'snapshot'}>;

/**
 * Applies records from the log and from peers, in any order and with duplicates. A source that contradicts the applied
 * records is rejected and reported, and the current configuration stays unchanged.
 */
export class ConfigurationReplica {
	#configuration = emptyConfiguration;
	#isLoaded = false;
	#latestSnapshot: StreamOffset | undefined;
	#tail: StreamRecord[] = [];
	#tailDigest = '';
	#gap: StreamRecord[] = [];

	get configuration(): Configuration {
		return this.#configuration;
	}

	/** False until the replica has reached the end of the log, or has been updated by a peer. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Offset of the latest snapshot record that was folded. */
	get latestSnapshot(): StreamOffset | undefined {
		return this.#latestSnapshot;
	}

	/** Offset of the next read. Rereads the last folded record, so that a replaced log is detected. */
	get nextReadOffset(): StreamOffset {
		const last = this.#gap.at(-1);
		if (last !== undefined) {
			return (last.offset + 1) as StreamOffset;
		}

		const {nextOffset} = this.#configuration;
		return (this.#tail.length > 0 ? nextOffset - 1 : nextOffset) as StreamOffset;
	}

	/** Applies a page read from the log. */
	applyPage(page: StreamPage): ApplyResult {
		const {nextOffset} = this.#configuration;
		// A truncated log may assign new changes to offsets that were already applied. Following it would roll the
		// configuration back.
		if (page.nextOffset < nextOffset) {
			return {steps: [], problem: 'wentBack'};
		}

		const result = this.#applyRecords(page.records, page.firstOffset);
		this.#isLoaded ||= result.problem === undefined && this.#configuration.nextOffset >= page.nextOffset;
		return result;
	}

	/** Applies a peer's records that follow the given offset and digest. */
	applyTail(from: StreamOffset, digest: string, records: readonly StreamRecord[]): ApplyResult {
		if (from !== this.#configuration.nextOffset) {
			return {steps: []};
		}

		if (digest !== this.#configuration.digest) {
			return {steps: [], problem: 'replaced'};
		}

		const result = this.#applyRecords(records, from);
		this.#isLoaded ||= result.problem === undefined;
		return result;
	}

	/** Loads a peer's snapshot if it is ahead of this replica. */
	applySnapshot(snapshot: Snapshot): ApplyResult {
		const isBehind = snapshot.upTo > this.#configuration.nextOffset;
		if (!isBehind && (this.#isLoaded || snapshot.upTo < this.#configuration.nextOffset)) {
			return {steps: []};
		}

		this.#load(snapshot);
		this.#isLoaded = true;
		return {steps: [{configuration: this.#configuration}]};
	}

	/** The records from an offset on and the digest before them, or undefined if they are no longer kept. */
	tailFrom(from: StreamOffset): {readonly digest: string; readonly records: readonly StreamRecord[]} | undefined {
		const first = this.#configuration.nextOffset - this.#tail.length;
		if (from < first || from > this.#configuration.nextOffset) {
			return undefined;
		}

		let digest = this.#tailDigest;
		for (const record of this.#tail.slice(0, from - first)) {
			digest = foldRecord({...emptyConfiguration, digest}, record).configuration.digest;
		}

		return {digest, records: this.#tail.slice(from - first)};
	}

	#applyRecords(records: readonly StreamRecord[], firstOffset: StreamOffset): ApplyResult {
		const steps: FoldResult[] = [];
		for (const record of records) {
			const problem = this.#applyRecord(record, steps);
			if (problem !== undefined) {
				return {steps, problem};
			}
		}

		const isTrimmed = this.#gap.length > 0 || firstOffset > this.#configuration.nextOffset;
		return isTrimmed ? {steps, problem: 'trimmed'} : {steps};
	}

	#applyRecord(record: StreamRecord, steps: FoldResult[]): SourceProblem | undefined {
		const {nextOffset} = this.#configuration;
		if (record.offset < nextOffset) {
			return this.#matchesFolded(record) ? undefined : 'replaced';
		}

		if (record.offset === nextOffset) {
			steps.push(this.#fold(record));
			return undefined;
		}

		this.#bufferBeyondGap(record, steps);
		return undefined;
	}

	#matchesFolded(record: StreamRecord): boolean {
		const kept = this.#tail[record.offset - (this.#configuration.nextOffset - this.#tail.length)];
		return kept === undefined || JSON.stringify(kept.body) === JSON.stringify(record.body);
	}

	#fold(record: StreamRecord): FoldResult {
		const folded = foldRecord(this.#configuration, record);
		this.#configuration = folded.configuration;
		this.#latestSnapshot = folded.isSnapshot === true ? record.offset : this.#latestSnapshot;
		this.#tail.push(record);
		if (this.#tail.length > maxTailRecords) {
			const dropped = this.#tail.shift()!;
			this.#tailDigest = foldRecord({...emptyConfiguration, digest: this.#tailDigest}, dropped).configuration.digest;
		}

		return folded;
	}

	/** Buffers records beyond a gap until a snapshot provides the state before one of them. */
	#bufferBeyondGap(record: StreamRecord, steps: FoldResult[]): void {
		if (this.#gap.length > 0 && record.offset !== this.#gap.at(-1)!.offset + 1) {
			this.#gap = [];
		}

		this.#gap.push(record);
		if (this.#gap.length > maxGapRecords) {
			this.#gap.shift();
		}

		const checked = configurationRecordSchema.safeParse(record.body);
		const first = this.#gap[0]!.offset;
		if (!checked.success || checked.data.kind !== 'snapshot' || checked.data.upTo < first || checked.data.upTo > record.offset) {
			return;
		}

		const rest = this.#gap.filter(kept => kept.offset >= (checked.data as Snapshot).upTo);
		this.#load(checked.data);
		for (const kept of rest) {
			steps.push(this.#fold(kept));
		}
	}

	#load(snapshot: Snapshot): void {
		this.#configuration = configurationOf(snapshot);
		this.#tail = [];
		this.#tailDigest = snapshot.digest;
		this.#gap = [];
	}
}
