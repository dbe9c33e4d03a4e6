/** Detection of process pauses. */
import type {Clock} from '../base/clock.js';
import type {Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {repeat} from '../base/repeat.js';
import {wait} from '../base/wait.js';
import type {ClockGap} from './clock-gap.js';
import {confirmedPauseThresholdMilliseconds} from './confirmed-pause-threshold.js';
import type {Pause} from './pause.js';

const checkIntervalMilliseconds = 100;
/** Above the timer delays of a busy event loop, below the time after which peers declare an entry lost. */
const pauseThresholdMilliseconds = 500;

/** A delay of the event loop from which on stops and heartbeats of this entry are noticeably late. */
const delayThresholdMilliseconds = 200;

/** Above the adjustments by which a wall clock is kept in time. */
const skippedTimeThresholdMilliseconds = 50;

/** Time after a pause in which the event loop reads all input that arrived during the pause: some turns on a slow machine. */
const resumeDelayMilliseconds = 60;
/** How long to wait for another machine's clock; longer than a target that answers needs, also on a new connection. */
const verificationTimeoutMilliseconds = 1000;
/** The same for skipped time, which a verification that ends without an answer still explains. */
const explanationTimeoutMilliseconds = 1100;
/** Interval at which waiting input checks for the end of the verification. */
const verificationPollMilliseconds = 20;

/** A possible suspension that no clock of another machine has shown or ruled out since the monotonic time `since`. */
type Verification = {readonly since: number; readonly assumedMilliseconds: number; readonly timeout: Disposable};

/** Time that only the wall clock counted, until another machine's clock tells why. */
type SkippedTime = {readonly since: number; readonly milliseconds: number};

/**
 * Compares the monotonic clock and the wall clock with the period of a timer. A stopped process shows a gap on both clocks;
 * a suspended machine only on the wall clock, which can't be told from a clock adjustment. Listeners of `onDidPause` must
 * therefore tolerate false positives.
 */
export class PauseDetector implements Disposable {
	readonly #suspectedPause = new Emitter<Pause>();
	readonly #confirmedPause = new Emitter<number>();
	readonly #delay = new Emitter<number>();
	readonly #skipTime = new Emitter<number>();
	readonly #explainSkip = new Emitter<number>();
	readonly #hiddenSuspension = new Emitter<number>();
	readonly #timer: Disposable;
	#lastMonotonicTime: number;
	#lastWallTime: number;
	#resumedAt = Number.NEGATIVE_INFINITY;
	#pauseConfirmedAt = Number.NEGATIVE_INFINITY;
	#longestDelayMilliseconds = 0;
	#verification: Verification | undefined;
	#skippedTime: SkippedTime | undefined;
	#skippedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock) {
		this.#lastMonotonicTime = clock.now();
		this.#lastWallTime = clock.wallTime();
		this.#timer = repeat(clock, checkIntervalMilliseconds, () => {
			this.check();
		});
	}

	/** Whether the process may just have resumed from a pause; its state may be stale. */
	get isResuming(): boolean {
		return this.#verification !== undefined || this.clock.now() < this.#resumedAt + resumeDelayMilliseconds;
	}

	/** Fires after a possible pause. */
	get onDidPause() {
		return this.#suspectedPause.event;
	}

	/** Fires with the length in milliseconds of a confirmed pause that was long enough for peers to have taken over. */
	get onDidConfirmPause() {
		return this.#confirmedPause.event;
	}

	/** Fires with the length in milliseconds of a long delay of the event loop that was too short for a pause. */
	get onDidDelay() {
		return this.#delay.event;
	}

	/** Fires with milliseconds that only the wall clock counted: a suspension of any length, or a change of that clock. */
	get onDidSkipTime() {
		return this.#skipTime.event;
	}

	/** Fires after skipped time, with as much of it as was a suspension: all or nothing. */
	get onDidExplainSkippedTime() {
		return this.#explainSkip.event;
	}

	/** Fires with the length in milliseconds of a suspension that the wall clock didn't show. */
	get onDidFindHiddenSuspension() {
		return this.#hiddenSuspension.event;
	}

	/** Returns the longest delay of the event loop since the previous call, in milliseconds. */
	takeLongestDelay(): number {
		const longest = this.#longestDelayMilliseconds;
		this.#longestDelayMilliseconds = 0;
		return longest;
	}

	/** Compares the clocks now, since messages may be read before the timer fires after a pause. */
	check(): void {
		const now = this.clock.now();
		const wall = this.clock.wallTime();
		const monotonicMilliseconds = now - this.#lastMonotonicTime;
		const wallMilliseconds = wall - this.#lastWallTime;
		const elapsed = Math.max(monotonicMilliseconds, wallMilliseconds);
		this.#lastMonotonicTime = now;
		this.#lastWallTime = wall;
		if (wallMilliseconds - monotonicMilliseconds > skippedTimeThresholdMilliseconds) {
			this.#recordSkippedTime(wallMilliseconds - monotonicMilliseconds);
		}

		this.#recordDelay(monotonicMilliseconds - checkIntervalMilliseconds);
		if (elapsed > pauseThresholdMilliseconds) {
			this.#resumedAt = now;
			this.#suspectedPause.fire({milliseconds: elapsed, monotonicMilliseconds});
		}

		if (monotonicMilliseconds > confirmedPauseThresholdMilliseconds) {
			this.#confirmPause(monotonicMilliseconds);
		}
	}

	/** Assumes a pause, because peers reported this process as lost. */
	suspectPause(): void {
		this.#resumedAt = this.clock.now();
	}

	/**
	 * Keeps the process resuming until another machine's clock, requested from now on, shows whether it was suspended. If none does in
	 * time, it is taken to have been suspended for the given time.
	 */
	awaitVerification(uncountedMilliseconds: number): void {
		this.#verification?.timeout.dispose();
		const since = this.clock.now();
		const assumedMilliseconds = Math.max(uncountedMilliseconds, this.#verification?.assumedMilliseconds ?? 0);
		const timeout = this.clock.schedule(verificationTimeoutMilliseconds, () => {
			this.reportClockGap({
				milliseconds: assumedMilliseconds, since, comparedSince: Number.NEGATIVE_INFINITY, requestedAt: since,
			});
		});
		this.#verification = {since, assumedMilliseconds, timeout};
	}

	/**
	 * Confirms or rules out a pause by a gap to another machine's monotonic clock. Reports of the same pause count once; one that
	 * spans a confirmed pause says nothing of what followed.
	 */
	reportClockGap(gap: ClockGap): void {
		const length = this.#lengthOf(gap);
		const isLong = length > confirmedPauseThresholdMilliseconds;
		if (isLong && gap.since < this.#pauseConfirmedAt) {
			return;
		}

		this.#explainSkippedTime(gap);
		if (this.#verification !== undefined && isAnswerTo(this.#verification, gap)) {
			this.#endVerification();
		}

		if (isLong) {
			this.#reportHiddenSuspension(gap);
			this.#confirmPause(length);
		}
	}

	/**
	 * Resolves at once, or after a pause once its length is known. A request that is read right after a pause may be stale; the
	 * delay lets the close of its connection be read as well.
	 */
	async whenResumed(): Promise<void> {
		this.check();
		while (this.isResuming) {
			const remaining = this.#resumedAt + resumeDelayMilliseconds - this.clock.now();
			await wait(this.clock, remaining > 0 ? remaining : verificationPollMilliseconds);
		}
	}

	dispose(): void {
		this.#timer.dispose();
		this.#endVerification();
		this.#suspectedPause.dispose();
		this.#confirmedPause.dispose();
		this.#delay.dispose();
		this.#skipTime.dispose();
		this.#explainSkip.dispose();
		this.#hiddenSuspension.dispose();
	}

	#endVerification(): void {
		this.#verification?.timeout.dispose();
		this.#verification = undefined;
	}

	#recordSkippedTime(milliseconds: number): void {
		const skipped = {since: this.clock.now(), milliseconds: milliseconds + (this.#skippedTime?.milliseconds ?? 0)};
		this.#skippedTime = skipped;
		this.#skippedAt = skipped.since;
		this.#skipTime.fire(milliseconds);
		this.clock.schedule(explanationTimeoutMilliseconds, () => {
			if (this.#skippedTime === skipped) {
				this.#resolveSkippedTime(0);
			}
		});
	}

	/** Reports a suspension that the wall clock didn't show, because it was set back meanwhile. */
	#reportHiddenSuspension({milliseconds, since}: ClockGap): void {
		if (this.#skippedAt < since) {
			this.#skippedAt = this.clock.now();
			this.#hiddenSuspension.fire(milliseconds);
		}
	}

	/**
	 * The length of the suspension that a gap shows. An answer that is read late shows less than that, at most by its round trip; the
	 * wall clock then tells the length if the gap confirms that the time it skipped was a suspension.
	 */
	#lengthOf(gap: ClockGap): number {
		const skipped = this.#skippedTime;
		if (skipped === undefined || !isAnswerTo(skipped, gap) || !isSuspension(skipped, gap)) {
			return gap.milliseconds;
		}

		const longest = gap.milliseconds + this.clock.now() - gap.requestedAt;
		return Math.max(gap.milliseconds, Math.min(skipped.milliseconds, longest));
	}

	#explainSkippedTime(gap: ClockGap): void {
		if (this.#skippedTime !== undefined && isAnswerTo(this.#skippedTime, gap)) {
			const {milliseconds} = this.#skippedTime;
			this.#resolveSkippedTime(isSuspension(this.#skippedTime, gap) ? milliseconds : 0);
		}
	}

	#resolveSkippedTime(suspendedMilliseconds: number): void {
		this.#skippedTime = undefined;
		this.#explainSkip.fire(suspendedMilliseconds);
	}

	#recordDelay(milliseconds: number): void {
		this.#longestDelayMilliseconds = Math.max(this.#longestDelayMilliseconds, milliseconds);
		if (milliseconds > delayThresholdMilliseconds && milliseconds + checkIntervalMilliseconds <= pauseThresholdMilliseconds) {
			this.#delay.fire(milliseconds);
		}
	}

	#confirmPause(milliseconds: number): void {
		if (this.#skippedTime !== undefined) {
			this.#resolveSkippedTime(this.#skippedTime.milliseconds);
		}

		this.#endVerification();
		this.#pauseConfirmedAt = this.clock.now();
		this.#confirmedPause.fire(milliseconds);
	}
}

/** Whether a gap was measured from before a moment by an answer to a request from after it. */
function isAnswerTo({since}: {readonly since: number}, {comparedSince, requestedAt}: ClockGap): boolean {
	return requestedAt >= since && comparedSince < since;
}

/** Whether a gap shows that skipped time was a suspension, of which a late answer shows only a part. */
function isSuspension({milliseconds}: SkippedTime, gap: ClockGap): boolean {
	return 2 * gap.milliseconds > milliseconds;
}
