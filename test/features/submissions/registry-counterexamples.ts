/** Regression cases in which a submission was started twice. */
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

/** Counterexamples found by the property test, which runs them first. */
export const registryCounterexamples: ReadonlyArray<readonly RegistryStep[]> = [
	// The backup dies, and the primary is paused before it replicates the record again. The third entry must not grant
	// the id after it fences the primary: a fence counts as a loss.
	[submit(0, 'c'), advance(50), {kind: 'kill', entry: 0}, submit(1, 'c'), submit(0, 'a'), {kind: 'pause', entry: 0, milliseconds: 9000}, heal],
	// Primary and backup die one after the other while an entry joins and becomes the primary. The state it receives must
	// include the time of the loss.
	[submit(0, 'b'), advance(50), {kind: 'kill', entry: 0}, {kind: 'losePlatform'}, {kind: 'add'}, {kind: 'kill', entry: 0}, submit(0, 'b'), advance(50)],
	// An entry fences the primary of some ids. It must not take over other ids for which it ranks third, because their
	// primary and backup can still grant them.
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
	// A leaving entry receives a copy after its handover, and then the primary dies. The copy must be forwarded.
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
	// A primary rejoins while a claim is being replicated, and the claim is repeated. It must be replicated again, because
	// the backup may have granted another claim.
	[submit(0, 'a'), submit(4, 'a'), cut(0, 4), advance(50), submit(0, 'a'), {kind: 'losePlatform'}, {kind: 'add'}, advance(2500)],
	// Two entries fence each other and rejoin at the same time. A claim that isn't replicated must not replace a granted one.
	[cut(4, 0), submit(0, 'a'), cut(0, 4), submit(0, 'c'), submit(4, 'a'), advance(1050), submit(0, 'a'), advance(1000), heal],
	// In a zone of two, the backup fences the unreachable primary, grants an id and dies. The primary must not grant the
	// id again.
	[cut(3, 0, true), submit(0, 'c'), advance(2550), {kind: 'kill', entry: 0}, submit(0, 'c')],
	// As above, with a claim at the primary that waits for its replication when the backup's death is detected.
	[cut(0, 3, true), submit(1, 'c'), submit(0, 'c'), advance(2550), {kind: 'kill', entry: 0}, advance(50)],
	// The primary is paused while the backup grants an id and dies, and resumes alone.
	[{kind: 'pause', entry: 1, milliseconds: 3000}, submit(0, 'c'), advance(2500), {kind: 'kill', entry: 0}, {kind: 'add'}, advance(50), submit(0, 'a'), submit(1, 'c'), submit(0, 'a')],
];
