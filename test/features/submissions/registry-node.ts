/** An entry in a registry simulation. */
import type {MemberId} from '../../../src/base/member-id.js';
import type {Registrar} from '../../../src/features/submissions/registrar.js';
import type {RemoteRegistryClient} from '../../../src/features/submissions/remote-registry-client.js';
import type {Member} from '../../../src/runtime/peers/member.js';

/** The entry's services and simulation state. Times are simulated milliseconds. */
export type RegistryNode = {
	readonly member: Member;
	readonly registrar: Registrar;
	readonly client: RemoteRegistryClient;
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
