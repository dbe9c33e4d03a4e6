/** Whether a target is fit for work. */
import type {InstanceId} from '../../base/instance-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {Journal} from '../../runtime/journal/journal.js';

/** Failures in a row after which a target is out; a loss or a refusal weighs as much as a failure. */
const consecutiveFailuresToEject = 3;
const firstEjectionMilliseconds = 2000;
/** One probe a second for a slow target, against a task in each free place on it; and it's back within a second. */
const suspensionMilliseconds = 1000;
const maximumEjectionMilliseconds = 60_000;
const ejectionBackoffFactor = 2;
/** No more of a zone's targets are out at once: when many look bad, the cause is most likely elsewhere. */
const maximumEjectedShare = 0.5;
/** A target is slow when its tasks take so many times what their profiles take elsewhere. */
const slowFactor = 2.5;
const minimumSlowSamples = 8;
/** Weight of the newest sample in moving averages. */
const smoothingFactor = 0.2;
/** A profile whose tasks fail this often on the other targets as well has itself to blame. */
const profileFailureThreshold = 0.5;

type Outcome = 'result' | 'failure' | 'refused' | 'lost';

/** The end of a task; the expected time is the profile's mean over the zone. */
type TaskCompletion = {
	readonly target: InstanceId;
	readonly profile: ProfileName;
	readonly outcome: Outcome;
	readonly runMilliseconds: number;
	readonly expectedMilliseconds: number;
	/** The task's job, where it's known: several failures of one job in a row say no more than one. */
	readonly job?: string;
	/** The task has failed or been lost on another target before: this failure says more of the task than of the target. */
	readonly hasFailedElsewhere?: boolean;
};

type TargetState = {
	failureStreak: number;
	/** The job of the latest failure of the streak. */
	failedJob: string | undefined;
	ejections: number;
	ejectedUntil: number;
	isOut: boolean;
	isProbing: boolean;
	slowness: number;
	samples: number;
	/** Moving failure share of each profile on this target. */
	readonly failureShares: Map<ProfileName, {share: number; samples: number}>;
};

/**
 * Judges the targets of a zone by the outcomes of their tasks. A target that fails everything is fast and always free,
 * so that it would draw all the load; it's taken out after a few failures in a row and comes back over one probe, each
 * time after a longer period.
 */
export class TargetHealth {
	readonly #states = new Map<InstanceId, TargetState>();

	constructor(private readonly journal: Journal) {}

	/** Keeps the judgement of the listed targets only. */
	retain(targets: ReadonlySet<InstanceId>): void {
		for (const id of this.#states.keys()) {
			if (!targets.has(id)) {
				this.#states.delete(id);
			}
		}

		for (const id of targets) {
			this.#stateOf(id);
		}
	}

	/** A target started again: a fault of before may be gone, and another kind of machine may be there. */
	forget(target: InstanceId): void {
		this.#states.delete(target);
	}

	/** `probe`: takes one task now and no second one before that has ended. */
	condition(target: InstanceId, now: number): 'fit' | 'slow' | 'probe' | 'out' {
		const state = this.#stateOf(target);
		if (state.isOut) {
			return now >= state.ejectedUntil && !state.isProbing ? 'probe' : 'out';
		}

		return state.samples >= minimumSlowSamples && state.slowness > slowFactor ? 'slow' : 'fit';
	}

	/** A task goes to a target that is out, to find out whether it's back. */
	beginProbe(target: InstanceId): void {
		this.#stateOf(target).isProbing = true;
	}

	/** A probe ended without telling anything. */
	cancelProbe(target: InstanceId): void {
		this.#stateOf(target).isProbing = false;
	}

	/**
	 * Takes a target out at once, on evidence that needs no second case, whatever is out already: each task that is sent to
	 * a target which works slowly or not at all is late. The time is short, since a probe costs but one task.
	 */
	suspend(target: InstanceId, cause: 'overdue', now: number): void {
		const state = this.#stateOf(target);
		state.isProbing = false;
		state.isOut = true;
		state.ejectedUntil = now + suspensionMilliseconds;
		this.journal.record('targetEjected', {target, outcome: cause, periodMilliseconds: suspensionMilliseconds});
	}

	report(end: TaskCompletion, now: number): void {
		const {target, profile, outcome, runMilliseconds, expectedMilliseconds, job} = end;
		const state = this.#stateOf(target);
		const isGood = outcome === 'result';
		recordOutcome(state, profile, isGood);
		if (isGood) {
			this.#recordSuccess(target, state, runMilliseconds / Math.max(1, expectedMilliseconds));
			return;
		}

		// A failing task says nothing about its target when the same profile fails on the others too.
		if (outcome === 'failure' && (this.#failsOnOtherTargets(target, profile) || isAttributableToJob(state, end))) {
			state.isProbing = false;
			return;
		}

		state.failureStreak += 1;
		state.failedJob = job;
		if (state.isProbing || (!state.isOut && state.failureStreak >= consecutiveFailuresToEject)) {
			this.#eject(target, state, outcome, now);
		}
	}

	#recordSuccess(target: InstanceId, state: TargetState, ratio: number): void {
		state.failureStreak = 0;
		state.failedJob = undefined;
		state.samples += 1;
		state.slowness += smoothingFactor * (ratio - state.slowness);
		if (!state.isOut || !state.isProbing) {
			return;
		}

		state.isOut = false;
		state.isProbing = false;
		this.journal.record('targetBack', {target, ejections: state.ejections});
	}

	#eject(target: InstanceId, state: TargetState, outcome: Outcome, now: number): void {
		state.isProbing = false;
		const out = [...this.#states.values()].filter(other => other.isOut).length;
		if (!state.isOut && out + 1 > this.#states.size * maximumEjectedShare) {
			this.journal.record('ejectionCapped', {target, out});
			return;
		}

		const period = Math.min(maximumEjectionMilliseconds, firstEjectionMilliseconds * (ejectionBackoffFactor ** state.ejections));
		state.isOut = true;
		state.ejections += 1;
		state.ejectedUntil = now + period;
		this.journal.record('targetEjected', {target, outcome, periodMilliseconds: period});
	}

	#failsOnOtherTargets(target: InstanceId, profile: ProfileName): boolean {
		const shares: number[] = [];
		for (const [id, state] of this.#states) {
			const known = state.failureShares.get(profile);
			if (id !== target && known !== undefined && !state.isOut) {
				shares.push(known.share);
			}
		}

		const sum = shares.reduce((total, share) => total + share, 0);
		return shares.length > 0 && sum / shares.length > profileFailureThreshold;
	}

	#stateOf(target: InstanceId): TargetState {
		const known = this.#states.get(target);
		if (known !== undefined) {
			return known;
		}

		const state: TargetState = {
			failureStreak: 0, failedJob: undefined, ejections: 0, ejectedUntil: 0, isOut: false, isProbing: false, slowness: 1, samples: 0, failureShares: new Map(),
		};
		this.#states.set(target, state);
		return state;
	}
}

/**
 * Jobs that can never be done fail at once, several tasks on one target and each of them on several targets. Charged to the
 * targets, three such jobs take a zone's sound targets out for seconds. A target that fails everything is found out all the
 * same, by the first attempts of three jobs.
 */
function isAttributableToJob(state: TargetState, {job, hasFailedElsewhere}: TaskCompletion): boolean {
	return hasFailedElsewhere === true || (job !== undefined && job === state.failedJob);
}

/** The first samples weigh more: a profile that fails everywhere is known for it after a task on each target. */
function recordOutcome(state: TargetState, profile: ProfileName, isGood: boolean): void {
	const known = state.failureShares.get(profile) ?? {share: 0, samples: 0};
	state.failureShares.set(profile, known);
	const weight = Math.max(smoothingFactor, 1 / (known.samples + 1));
	known.samples += 1;
	known.share += weight * ((isGood ? 0 : 1) - known.share);
}
