/** Histories that once started a submission twice. */
import type {SubmissionId} from '../../../src/base/submission-id.js';
import type {RegistryStep} from './registry-step.js';

const submit = (entry: number, id: string): RegistryStep => ({
	kind: 'submit', entry, id: id as SubmissionId, run: 100,
});
const advance = (milliseconds: number): RegistryStep => ({kind: 'advance', milliseconds});
const cut = (entry: number, other: number, isMutual = false): RegistryStep => ({
	kind: 'cut', entry, other, isMutual,
});
const heal: RegistryStep = {kind: 'heal'};

/** Each was found by the property, and is tried first by it ever since. */
export const registryCounterexamples: ReadonlyArray<readonly RegistryStep[]> = [
	// The copy's holder dies and the owner is paused before it gave the record a second place. The third entry, now next
	// in rank, fenced the owner and granted the id, although it had never got its record: a fence now counts as a loss.
	[submit(0, 'c'), advance(50), {kind: 'kill', entry: 0}, submit(1, 'c'), submit(0, 'a'), {kind: 'pause', entry: 0, milliseconds: 9000}, heal],
	// Owner and holder die one after the other while a new entry comes. The new one ranks first, and inherited all that was
	// left, but not the knowledge that something was lost: the state it's sent now says so.
	[submit(0, 'b'), advance(50), {kind: 'kill', entry: 0}, {kind: 'losePlatform'}, {kind: 'add'}, {kind: 'kill', entry: 0}, submit(0, 'b'), advance(50)],
	// An entry fenced the owner of some ids and passed it over for other ids too, for which it was third: owner and holder
	// of those could still grant together. Now only the second in rank may pass over the first.
	[
		{kind: 'pause', entry: 2, milliseconds: 3000},
		cut(0, 1),
		submit(0, 'd'),
		submit(4, 'a'),
		submit(4, 'd'),
		advance(2500),
		submit(0, 'a'),
		advance(1000),
		heal,
		advance(50),
	],
	// A leaving entry took a copy after it had handed everything over, and left; then the owner died. Now what it still
	// takes goes on to those who stay before it leaves.
	[
		submit(1, 'a'),
		{kind: 'add'},
		{kind: 'leave', entry: 0},
		advance(2500),
		submit(0, 'd'),
		{kind: 'leave', entry: 0},
		advance(50),
		submit(0, 'a'),
		submit(0, 'a'),
		submit(2, 'd'),
		{kind: 'kill', entry: 4},
	],
	// A claim waited for its copy when its owner entered the circle again; the same claim came again and was granted on the
	// spot, while another one had been granted by the holder. A claim whose copy never arrived now starts over.
	[submit(0, 'a'), submit(4, 'a'), cut(0, 4), advance(50), submit(0, 'a'), {kind: 'losePlatform'}, {kind: 'add'}, advance(2500)],
	// Two entries fenced each other and entered again at once; the waiting claim of one replaced the granted one of the
	// other. Claims that wait are no longer told, and give way to granted ones.
	[cut(4, 0), submit(0, 'a'), cut(0, 4), submit(0, 'c'), submit(4, 'a'), advance(1050), submit(0, 'a'), advance(1000), heal],
	// In a zone of two, the owner couldn't reach the copy's holder, which fenced it, granted an id and died. The owner went
	// on alone, since its holder was gone, and granted the id again: now it knows that the holder may have acted.
	[cut(3, 0, true), submit(0, 'c'), advance(2550), {kind: 'kill', entry: 0}, submit(0, 'c')],
	// The same while a claim waits at the owner for its copy: it was granted when the holder's death was known.
	[cut(0, 3, true), submit(1, 'c'), submit(0, 'c'), advance(2550), {kind: 'kill', entry: 0}, advance(50)],
	// The owner was paused while the holder acted and died: it wakes up alone.
	[{kind: 'pause', entry: 1, milliseconds: 3000}, submit(0, 'c'), advance(2500), {kind: 'kill', entry: 0}, {kind: 'add'}, advance(50), submit(0, 'a'), submit(1, 'c'), submit(0, 'a')],
];
