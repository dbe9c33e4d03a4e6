/** Entries of a world of registrars that meet. */
import type {RegistryNode} from './registry-node.js';

/** One entry knows another from now on, as if it had just been heard and reached. */
export function introduce({known, heardAt, reachedAt}: RegistryNode, {member}: RegistryNode, now: number): void {
	known.set(member.id, member);
	heardAt.set(member.id, now);
	reachedAt.set(member.id, now);
}
