/** Rendezvous hashing. */
import {hashText} from './hash-text.js';

/** Orders candidates for a key; adding or removing a candidate does not reorder the others. */
export function rankByKey<Candidate>(key: string, candidates: readonly Candidate[], nameOf: (candidate: Candidate) => string): readonly Candidate[] {
	const weighted = candidates.map(candidate => {
		const name = nameOf(candidate);
		return {candidate, name, weight: hashText(`${key}|${name}`)};
	});
	weighted.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1));
	return weighted.map(entry => entry.candidate);
}
