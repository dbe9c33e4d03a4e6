/** Replicates records again after the loss of a registrar. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PrimarySelection} from './primary-selection.js';
import type {GroupJoin} from './group-join.js';
import type {GroupView} from './group-view.js';
import type {RecordStore} from './record-store.js';
import {recordVersionOf} from './record-version-of.js';
import type {RegistrarEnvironment} from './registrar-environment.js';
import type {RegistryMessage} from './registry-message.js';
import type {Replication} from './replication.js';

type ReplicaRepairParts = {
	readonly self: Member;
	readonly clock: Clock;
	readonly environment: RegistrarEnvironment;
	readonly view: GroupView;
	readonly groupJoin: GroupJoin;
	readonly store: RecordStore;
	readonly primarySelection: PrimarySelection;
	readonly replication: Replication;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Removes a lost registrar from the view, and notifies the group once all local records have a backup again. */
export class ReplicaRepair {
	constructor(private readonly parts: ReplicaRepairParts) {}

	memberLost(id: MemberId, wasHandedOver: boolean): void {
		const {clock, environment, view, groupJoin, store, replication} = this.parts;
		groupJoin.memberLost(id);
		if (!view.has(id)) {
			return;
		}

		const before = new Map([...store.all()].map(record => [record.id, this.#backupFor(record.id)]));
		const manner = wasHandedOver ? 'handedOver' : (environment.isContactStale(id) ? 'unreachable' : 'reachable');
		view.remove(id, manner, clock.wallTime());
		replication.retarget();
		this.#replicateAgain(id, before);
	}

	#replicateAgain(lost: MemberId, before: ReadonlyMap<SubmissionId, MemberId | undefined>): void {
		const {store, replication} = this.parts;
		let outstanding = 1;
		const done = () => {
			outstanding -= 1;
			if (outstanding === 0) {
				this.#announceRepair(lost);
			}
		};

		for (const record of store.all()) {
			const backup = this.#backupFor(record.id);
			const version = recordVersionOf(record);
			if (backup !== undefined && backup !== before.get(record.id) && !replication.isPending(record, version)) {
				outstanding += 1;
				replication.replicate(record, version, done);
			}
		}

		done();
	}

	#announceRepair(lost: MemberId): void {
		const {self, view, send} = this.parts;
		view.restore(lost, self.id);
		for (const member of view.members) {
			send(member.id, {kind: 'restored', lost});
		}
	}

	#backupFor(id: SubmissionId): MemberId | undefined {
		const primary = this.parts.primarySelection.primaryOf(id);
		return primary.kind === 'self' ? primary.backup?.id : undefined;
	}
}
