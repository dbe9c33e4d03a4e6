/** What a registrar sees of its surroundings. */
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';

/** The part of the membership that the registry relies on. */
export type RegistrarSurroundings = {
	/** When the instance list last showed this entry; monotonic. */
	readonly listedAt: number | undefined;
	/** The other live members of the zone that were met. */
	readonly neighbours: readonly Member[];
	/** Whether a listed entry of the zone neither answered nor refused yet. */
	readonly hasUnresolved: boolean;
	/** Whether a member may have taken this one for silent. */
	isOutOfTouch(member: MemberId): boolean;
	isSilent(member: MemberId): boolean;
	memberOf(member: MemberId): Member | undefined;
};
