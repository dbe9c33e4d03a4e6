/** Gives a second place to the records that lost theirs with a registrar. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {AuthorityRule} from './authority-rule.js';
import type {CircleEntry} from './circle-entry.js';
import type {CircleView} from './circle-view.js';
import type {RecordStore} from './record-store.js';
import {recordVersionOf} from './record-version-of.js';
import type {RegistrarSurroundings} from './registrar-surroundings.js';
import type {RegistryMessage} from './registry-message.js';
import type {Replication} from './replication.js';

type CopyRestorationParts = {
	readonly self: Member;
	readonly clock: Clock;
	readonly surroundings: RegistrarSurroundings;
	readonly view: CircleView;
	readonly entry: CircleEntry;
	readonly store: RecordStore;
	readonly authority: AuthorityRule;
	readonly replication: Replication;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Takes a registrar that is gone out of the ranks, and tells the others when all records have two places again. */
export class CopyRestoration {
	constructor(private readonly parts: CopyRestorationParts) {}

	memberLost(id: MemberId, wasHandedOver: boolean): void {
		const {clock, surroundings, view, entry, store, replication} = this.parts;
		entry.memberLost(id);
		if (!view.has(id)) {
			return;
		}

		const before = new Map([...store.all()].map(record => [record.id, this.#backupOf(record.id)]));
		const manner = wasHandedOver ? 'handedOver' : (surroundings.isOutOfTouch(id) ? 'outOfTouch' : 'inTouch');
		view.remove(id, manner, clock.wallTime());
		replication.reconsider();
		this.#restore(id, before);
	}

	#restore(lost: MemberId, before: ReadonlyMap<SubmissionId, MemberId | undefined>): void {
		const {store, replication} = this.parts;
		let outstanding = 1;
		const done = () => {
			outstanding -= 1;
			if (outstanding === 0) {
				this.#announce(lost);
			}
		};

		for (const record of store.all()) {
			const backup = this.#backupOf(record.id);
			const version = recordVersionOf(record);
			if (backup !== undefined && backup !== before.get(record.id) && !replication.has(record, version)) {
				outstanding += 1;
				replication.replicate(record, version, done);
			}
		}

		done();
	}

	#announce(lost: MemberId): void {
		const {self, view, send} = this.parts;
		view.restore(lost, self.id);
		for (const member of view.members) {
			send(member.id, {kind: 'restored', lost});
		}
	}

	#backupOf(id: SubmissionId): MemberId | undefined {
		const authority = this.parts.authority.authorityOf(id);
		return authority.kind === 'own' ? authority.backup?.id : undefined;
	}
}
