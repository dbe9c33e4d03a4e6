/** Transfers a registrar's records to joining members, and to the remaining members when it leaves. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {GroupJoin} from './group-join.js';
import type {GroupView} from './group-view.js';
import {Handover} from './handover.js';
import {recordCopyOf} from './record-copy-of.js';
import type {RecordCopy} from './record-copy.js';
import type {RecordStore} from './record-store.js';
import type {RegistryMessage} from './registry-message.js';
import type {SubmissionRecord} from './submission-record.js';

const recordsPerBatch = 200;

type StateTransferParts = {
	readonly clock: Clock;
	readonly view: GroupView;
	readonly groupJoin: GroupJoin;
	readonly store: RecordStore;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Joining members receive all records; remaining members receive those whose primary or backup they become. */
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

	/** Sends all records synchronously, so that no grant is missed. */
	sendAll(to: MemberId, era: number): void {
		const {view, groupJoin, send} = this.parts;
		const batches = batchesOf(this.#granted().map(record => recordCopyOf(record, this.parts.clock.now())));
		for (const [index, batch] of batches.entries()) {
			send(to, {
				kind: 'state',
				era,
				records: batch,
				isLast: index === batches.length - 1,
				isActive: groupJoin.isActive,
				vouchFrom: Math.max(groupJoin.coverageStart, view.latestPossibleLoss),
				ownEra: groupJoin.era,
			});
		}
	}

	/** Starts the handover of all records. */
	leave(): void {
		if (this.#isLeaving) {
			return;
		}

		this.#isLeaving = true;
		const byMember = new Map<MemberId, RecordCopy[]>();
		for (const record of this.#granted()) {
			for (const to of this.#successorsOf(record)) {
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

	/** Forwards a copy received while leaving to the remaining members. */
	forward(record: RecordCopy): void {
		if (this.#isLeaving) {
			for (const to of this.#successorsOf(record)) {
				this.#handover.add(to, [record]);
			}
		}
	}

	acknowledge(sequence: number): void {
		this.#handover.acknowledge(sequence);
	}

	resend(): void {
		this.#handover.resend();
	}

	/** Granted records; claims that are not replicated yet are not transferred. */
	#granted(): readonly SubmissionRecord[] {
		return [...this.parts.store.all()].filter(record => record.isGranted);
	}

	/** The primary and the backup of a record after this registrar has left. */
	#successorsOf({id}: Pick<SubmissionRecord, 'id'>): readonly MemberId[] {
		return this.parts.view.rankOthers(id).slice(0, 2).map(member => member.id);
	}
}

function batchesOf<Item>(items: readonly Item[]): readonly Item[][] {
	const batches: Item[][] = [];
	for (let start = 0; start === 0 || start < items.length; start += recordsPerBatch) {
		batches.push(items.slice(start, start + recordsPerBatch));
	}

	return batches;
}
