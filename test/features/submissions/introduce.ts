/** Connects entries of a registry simulation. */
import type {RegistryNode} from './registry-node.js';

/** Adds an entry to the peers of another one, as if it had just been heard and reached. */
export function introduce({known, heardAt, reachedAt}: RegistryNode, {member}: RegistryNode, now: number): void {
	known.set(member.id, member);
	heardAt.set(member.id, now);
	reachedAt.set(member.id, now);
}
