/** Canary trials of profile variants. */
import {hashText} from '../../base/hash-text.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {ProfileRevision} from '../profiles/profile-revision.js';

const hashRange = 0x1_00_00_00_00;
/** Weight of the newest task in the exponential moving averages. */
const smoothing = 0.05;

type Arm = {tasks: number; failureShare: number; runMilliseconds: number};
type Trial = {readonly base: Arm; readonly variant: Arm; isStopped: boolean};

/**
 * Routes a fixed, hash-based share of submissions to the variant, and stops the trial when the variant exceeds the limits of
 * the profile's guard. Each entry decides independently, for each profile revision.
 */
export class VariantGuard {
	readonly #trials = new Map<string, Trial>();

	constructor(private readonly journal: Journal) {}

	/** The label of the variant's targets if the submission takes part in a trial. */
	labelFor(revision: ProfileRevision, id: SubmissionId): string | undefined {
		const {variant, name} = revision.profile;
		if (variant === undefined || this.#trialOf(revision).isStopped) {
			return undefined;
		}

		return hashText(`${name}|${id}`) / hashRange < variant.share ? variant.label : undefined;
	}

	/** Records the outcome of a task and stops the trial if needed; ignored for profiles without a variant. */
	recordTask(revision: ProfileRevision, isVariant: boolean, isSuccessful: boolean, runMilliseconds: number): void {
		if (revision.profile.variant === undefined) {
			return;
		}

		const trial = this.#trialOf(revision);
		const arm = isVariant ? trial.variant : trial.base;
		// The first samples have a higher weight, so that the averages are not biased towards zero.
		const weight = Math.max(smoothing, 1 / (arm.tasks + 1));
		arm.tasks += 1;
		arm.failureShare += weight * ((isSuccessful ? 0 : 1) - arm.failureShare);
		arm.runMilliseconds += isSuccessful ? weight * (runMilliseconds - arm.runMilliseconds) : 0;
		this.#evaluate(revision, trial);
	}

	#evaluate(revision: ProfileRevision, trial: Trial): void {
		const {base, variant} = trial;
		const {guard, label} = revision.profile.variant!;
		if (trial.isStopped || variant.tasks < guard.minimumTasks) {
			return;
		}

		const isFailing = variant.failureShare > base.failureShare + guard.failureShare;
		const isSlow = base.tasks >= guard.minimumTasks && variant.runMilliseconds > base.runMilliseconds * guard.slowdown;
		if (!isFailing && !isSlow) {
			return;
		}

		trial.isStopped = true;
		this.journal.record('trialStopped', {
			profile: revision.profile.name,
			revision: revision.revision,
			label,
			cause: isFailing ? 'failures' : 'run time',
			variantFailureShare: rounded(variant.failureShare),
			baseFailureShare: rounded(base.failureShare),
			variantMilliseconds: Math.round(variant.runMilliseconds),
			baseMilliseconds: Math.round(base.runMilliseconds),
		});
	}

	#trialOf(revision: ProfileRevision): Trial {
		const key = keyOf(revision);
		const known = this.#trials.get(key);
		if (known !== undefined) {
			return known;
		}

		const trial: Trial = {base: emptyArm(), variant: emptyArm(), isStopped: false};
		this.#trials.set(key, trial);
		return trial;
	}
}

function emptyArm(): Arm {
	return {tasks: 0, failureShare: 0, runMilliseconds: 0};
}

function keyOf(revision: ProfileRevision): string {
	return `${revision.profile.name}@${revision.revision}`;
}

function rounded(share: number): number {
	return Math.round(share * 1000) / 1000;
}
