/** The configuration with the rule that it only goes forward. */
import type {StreamOffset} from '../../base/stream-offset.js';
import type {StreamPage} from '../../runtime/stream/stream-page.js';
import type {StreamRecord} from '../../runtime/stream/stream-record.js';
import type {Acceptance} from './acceptance.js';
import type {Configuration} from './configuration.js';
import {configurationOf} from './configuration-of.js';
import type {ConfigurationRecord} from './configuration-record.js';
import {configurationRecordSchema} from './configuration-record-schema.js';
import {emptyConfiguration} from './empty-configuration.js';
import type {Folded} from './folded.js';
import {foldRecord} from './fold-record.js';
import type {LedgerProblem} from './ledger-problem.js';

/** Records kept for peers that are a little behind, and to notice a log whose records changed. */
const tailRecords = 500;
/** Records kept while a reader that lost its place looks for a snapshot. */
const gapRecords = 20_000;

type Snapshot = Extract<ConfigurationRecord, {kind: 'snapshot'}>;

/**
 * Takes records from the log and from peers in any order and any number of times. A source that disagrees with what was
 * folded is refused and reported: the configuration in force stays as it is.
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

	/** False until a source has said where the stream ends, be it at 0. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** The offset of the latest snapshot that was folded or loaded. */
	get latestSnapshot(): StreamOffset | undefined {
		return this.#latestSnapshot;
	}

	/** Where to read from: the last folded record is read again, since a changed one tells of a replaced log. */
	get nextReadOffset(): StreamOffset {
		const last = this.#gap.at(-1);
		if (last !== undefined) {
			return (last.offset + 1) as StreamOffset;
		}

		const {nextOffset} = this.#configuration;
		return (this.#tail.length > 0 ? nextOffset - 1 : nextOffset) as StreamOffset;
	}

	/** Takes what a read from the log returned. */
	applyPage(page: StreamPage): Acceptance {
		const {nextOffset} = this.#configuration;
		// A log that lost its end would take operators' changes at offsets that were in force before with another
		// content; following it would put a newer configuration back to an older one.
		if (page.nextOffset < nextOffset) {
			return {steps: [], problem: 'wentBack'};
		}

		const acceptance = this.#acceptRecords(page.records, page.firstOffset);
		this.#isLoaded ||= acceptance.problem === undefined && this.#configuration.nextOffset >= page.nextOffset;
		return acceptance;
	}

	/** Takes a peer's records that follow the given offset and digest. */
	acceptTail(from: StreamOffset, digest: string, records: readonly StreamRecord[]): Acceptance {
		if (from !== this.#configuration.nextOffset) {
			return {steps: []};
		}

		if (digest !== this.#configuration.digest) {
			return {steps: [], problem: 'replaced'};
		}

		const acceptance = this.#acceptRecords(records, from);
		this.#isLoaded ||= acceptance.problem === undefined;
		return acceptance;
	}

	/** Takes a peer's whole state if it's ahead. */
	acceptState(snapshot: Snapshot): Acceptance {
		const isBehind = snapshot.upTo > this.#configuration.nextOffset;
		if (!isBehind && (this.#isLoaded || snapshot.upTo < this.#configuration.nextOffset)) {
			return {steps: []};
		}

		this.#load(snapshot);
		this.#isLoaded = true;
		return {steps: [{configuration: this.#configuration}]};
	}

	/** The records from an offset on, with the digest before them; none where they are no longer kept. */
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

	#acceptRecords(records: readonly StreamRecord[], firstOffset: StreamOffset): Acceptance {
		const steps: Folded[] = [];
		for (const record of records) {
			const problem = this.#acceptRecord(record, steps);
			if (problem !== undefined) {
				return {steps, problem};
			}
		}

		const isTrimmed = this.#gap.length > 0 || firstOffset > this.#configuration.nextOffset;
		return isTrimmed ? {steps, problem: 'trimmed'} : {steps};
	}

	#acceptRecord(record: StreamRecord, steps: Folded[]): LedgerProblem | undefined {
		const {nextOffset} = this.#configuration;
		if (record.offset < nextOffset) {
			return this.#isAsFolded(record) ? undefined : 'replaced';
		}

		if (record.offset === nextOffset) {
			steps.push(this.#fold(record));
			return undefined;
		}

		this.#acceptBeyondGap(record, steps);
		return undefined;
	}

	#isAsFolded(record: StreamRecord): boolean {
		const kept = this.#tail[record.offset - (this.#configuration.nextOffset - this.#tail.length)];
		return kept === undefined || JSON.stringify(kept.body) === JSON.stringify(record.body);
	}

	#fold(record: StreamRecord): Folded {
		const folded = foldRecord(this.#configuration, record);
		this.#configuration = folded.configuration;
		this.#latestSnapshot = folded.isSnapshot === true ? record.offset : this.#latestSnapshot;
		this.#tail.push(record);
		if (this.#tail.length > tailRecords) {
			const dropped = this.#tail.shift()!;
			this.#tailDigest = foldRecord({...emptyConfiguration, digest: this.#tailDigest}, dropped).configuration.digest;
		}

		return folded;
	}

	/** Keeps records that can't be folded yet until a snapshot tells the state before one of them. */
	#acceptBeyondGap(record: StreamRecord, steps: Folded[]): void {
		if (this.#gap.length > 0 && record.offset !== this.#gap.at(-1)!.offset + 1) {
			this.#gap = [];
		}

		this.#gap.push(record);
		if (this.#gap.length > gapRecords) {
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
