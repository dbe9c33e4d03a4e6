/** Gives a registrar's records to those that enter the circle, and to those that stay when it leaves. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {CircleEntry} from './circle-entry.js';
import type {CircleView} from './circle-view.js';
import {Handover} from './handover.js';
import {recordCopyOf} from './record-copy-of.js';
import type {RecordCopy} from './record-copy.js';
import type {RecordStore} from './record-store.js';
import type {RegistryMessage} from './registry-message.js';
import type {SubmissionRecord} from './submission-record.js';

const recordsPerBatch = 200;

type StateTransferParts = {
	readonly clock: Clock;
	readonly view: CircleView;
	readonly entry: CircleEntry;
	readonly store: RecordStore;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** An entrant gets all records; those that stay get the ones for which they rank first or second from now on. */
export class StateTransfer {
	readonly #handover: Handover;
	#isLeaving = false;

	constructor(private readonly parts: StateTransferParts) {
		this.#handover = new Handover(parts.send);
	}

	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	get hasHandedOver(): boolean {
		return this.#isLeaving && this.#handover.isDone;
	}

	/** Sends all records in one step, so that no grant falls between. */
	sendAll(to: MemberId, era: number): void {
		const {view, entry, send} = this.parts;
		const batches = batchesOf(this.#granted().map(record => recordCopyOf(record, this.parts.clock.now())));
		for (const [index, batch] of batches.entries()) {
			send(to, {
				kind: 'state',
				era,
				records: batch,
				isLast: index === batches.length - 1,
				isActive: entry.isActive,
				vouchFrom: Math.max(entry.vouchFrom, view.latestDoubleLoss),
				ownEra: entry.era,
			});
		}
	}

	/** Begins to hand all records over. */
	leave(): void {
		if (this.#isLeaving) {
			return;
		}

		this.#isLeaving = true;
		const byMember = new Map<MemberId, RecordCopy[]>();
		for (const record of this.#granted()) {
			for (const to of this.#heirsOf(record)) {
				const list = byMember.get(to) ?? [];
				byMember.set(to, list);
				list.push(recordCopyOf(record, this.parts.clock.now()));
			}
		}

		for (const [to, records] of byMember) {
			for (const batch of batchesOf(records)) {
				this.#handover.add(to, batch);
			}
		}
	}

	/** What a leaving registrar still accepts goes to those who stay, before it says farewell. */
	passOn(record: RecordCopy): void {
		if (this.#isLeaving) {
			for (const to of this.#heirsOf(record)) {
				this.#handover.add(to, [record]);
			}
		}
	}

	taken(sequence: number): void {
		this.#handover.taken(sequence);
	}

	resend(): void {
		this.#handover.resend();
	}

	/** What others must know of; a claim that still waits for its copy isn't granted by anyone. */
	#granted(): readonly SubmissionRecord[] {
		return [...this.parts.store.all()].filter(record => record.isGranted);
	}

	/** Who owns a record and who has its copy, once this registrar is gone. */
	#heirsOf({id}: Pick<SubmissionRecord, 'id'>): readonly MemberId[] {
		return this.parts.view.rankOfOthers(id).slice(0, 2).map(member => member.id);
	}
}

function batchesOf<Item>(items: readonly Item[]): readonly Item[][] {
	const batches: Item[][] = [];
	for (let start = 0; start === 0 || start < items.length; start += recordsPerBatch) {
		batches.push(items.slice(start, start + recordsPerBatch));
	}

	return batches;
}
