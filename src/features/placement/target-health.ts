/** Health of targets. */
import type {InstanceId} from '../../base/instance-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {Journal} from '../../runtime/journal/journal.js';

/** Consecutive failures after which a target is ejected; losses and refusals count as failures. */
const consecutiveFailuresToEject = 3;
const firstEjectionMilliseconds = 2000;
/** Limits a slow target to about one probe per second, instead of a task in each free place, and readmits it within a second. */
const suspensionMilliseconds = 1000;
const maximumEjectionMilliseconds = 60_000;
const ejectionBackoffFactor = 2;
/** Maximum share of a zone's targets ejected at once; more failures suggest a cause other than the targets. */
const maximumEjectedShare = 0.5;
/** Ratio of actual to expected run time above which a target is slow. */
const slowFactor = 2.5;
const minimumSlowSamples = 8;
/** Weight of the newest sample in moving averages. */
const smoothingFactor = 0.2;
/** Failure share of a profile on other targets above which failures aren't attributed to the target. */
const profileFailureThreshold = 0.5;

type Outcome = 'result' | 'failure' | 'refused' | 'lost';

/** Outcome of a task; the expected time is the mean of the profile in the zone. */
type TaskCompletion = {
	readonly target: InstanceId;
	readonly profile: ProfileName;
	readonly outcome: Outcome;
	readonly runMilliseconds: number;
	readonly expectedMilliseconds: number;
	/** Id of the job, if known; consecutive failures of one job count once. */
	readonly job?: string;
	/**
	 * Set if the task has failed or been lost on another target, so that its failure isn't attributed to this one.
	 */
	readonly hasFailedElsewhere?: boolean;
};

type TargetState = {
	failureStreak: number;
	/** Job of the latest failure in the streak. */
	failedJob: string | undefined;
	ejections: number;
	ejectedUntil: number;
	isOut: boolean;
	isProbing: boolean;
	slowness: number;
	samples: number;
	/** Moving average of the failure share by profile. */
	readonly failureShares: Map<ProfileName, {share: number; samples: number}>;
};

/**
 * Tracks the health of a zone's targets by the outcomes of their tasks. A target that fails all tasks immediately
 * would attract most of the load; it's ejected after consecutive failures and readmitted after a successful probe,
 * with exponential backoff.
 */
export class TargetHealth {
	readonly #states = new Map<InstanceId, TargetState>();

	constructor(private readonly journal: Journal) {}

	/** Discards the state of all other targets. */
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

	/** Resets the state of a target that restarted. */
	forget(target: InstanceId): void {
		this.#states.delete(target);
	}

	/** `probe`: the target accepts a single task until that task has ended. */
	condition(target: InstanceId, now: number): 'fit' | 'slow' | 'probe' | 'out' {
		const state = this.#stateOf(target);
		if (state.isOut) {
			return now >= state.ejectedUntil && !state.isProbing ? 'probe' : 'out';
		}

		return state.samples >= minimumSlowSamples && state.slowness > slowFactor ? 'slow' : 'fit';
	}

	/** Marks a probe as running on an ejected target. */
	beginProbe(target: InstanceId): void {
		this.#stateOf(target).isProbing = true;
	}

	/** Ends a probe without a result. */
	cancelProbe(target: InstanceId): void {
		this.#stateOf(target).isProbing = false;
	}

	/**
	 * Ejects a target immediately, regardless of the limit on ejected targets, since any task sent to it would be
	 * late. The period is short, as a probe costs only one task.
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

		// If the profile fails on other targets as well, the failure isn't attributed to this target.
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
 * Tasks that always fail do so on several targets. Counting each of these failures would eject healthy targets; a
 * faulty target still fails the first attempts of several jobs.
 */
function isAttributableToJob(state: TargetState, {job, hasFailedElsewhere}: TaskCompletion): boolean {
	return hasFailedElsewhere === true || (job !== undefined && job === state.failedJob);
}

/** Uses a higher weight for the first samples, so that a profile that fails everywhere is detected early. */
function recordOutcome(state: TargetState, profile: ProfileName, isGood: boolean): void {
	const known = state.failureShares.get(profile) ?? {share: 0, samples: 0};
	state.failureShares.set(profile, known);
	const weight = Math.max(smoothingFactor, 1 / (known.samples + 1));
	known.samples += 1;
	known.share += weight * ((isGood ? 0 : 1) - known.share);
}
