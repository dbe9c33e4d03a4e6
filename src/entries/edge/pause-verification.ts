/** Verification of pauses by the clocks of targets. */
import type {Clock} from '../../base/clock.js';
import type {Executor} from '../../features/execution/executor.js';
import type {Pause} from '../../runtime/pause.js';
import type {PauseDetector} from '../../runtime/pause-detector.js';

/** Shorter differences between wall clock and monotonic clock are adjustments of the former, or too short to matter. */
const leastSuspensionMilliseconds = 200;

/** Lets the owned targets' clocks show whether the system was suspended or its clock set. */
export class PauseVerification {
	constructor(private readonly executor: Executor, private readonly pauses: PauseDetector, private readonly clock: Clock) {}

	/** Without targets, assumes a suspension. */
	explainSkippedTime(milliseconds: number): void {
		if (this.executor.ownedTargets > 0) {
			this.executor.pollTargets();
			return;
		}

		const now = this.clock.now();
		this.pauses.reportClockGap({
			milliseconds, since: now, comparedSince: Number.NEGATIVE_INFINITY, requestedAt: now,
		});
	}

	/** Places nothing while the system may have been suspended. A pause that the monotonic clock counted needs no proof. */
	verify({milliseconds, monotonicMilliseconds}: Pause): void {
		const uncounted = milliseconds - monotonicMilliseconds;
		if (uncounted >= leastSuspensionMilliseconds) {
			this.askTargets(uncounted);
		} else {
			this.executor.pollTargets();
		}
	}

	/** Without an answer, the system is taken to have been suspended for the given time. */
	askTargets(uncountedMilliseconds: number): void {
		if (this.executor.ownedTargets > 0) {
			this.pauses.awaitVerification(uncountedMilliseconds);
			this.executor.pollTargets();
		}
	}
}
