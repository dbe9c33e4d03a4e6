/** An entry in a world of registrars. */
import type {MemberId} from '../../../src/base/member-id.js';
import type {Registrar} from '../../../src/features/submissions/registrar.js';
import type {RegistrySubmissionDesk} from '../../../src/features/submissions/registry-submission-desk.js';
import type {Member} from '../../../src/runtime/peers/member.js';

/** Its parts, and what the world keeps of it. Times are the world's milliseconds. */
export type RegistryNode = {
	readonly member: Member;
	readonly registrar: Registrar;
	readonly desk: RegistrySubmissionDesk;
	readonly heardAt: Map<MemberId, number>;
	readonly reachedAt: Map<MemberId, number>;
	readonly known: Map<MemberId, Member>;
	readonly delistedAt: Map<MemberId, number>;
	listedAt: number | undefined;
	state: 'live' | 'dead' | 'left';
	hasEntered: boolean;
	leavingSince: number | undefined;
	pausedUntil: number;
	inbox: Array<() => void>;
};
