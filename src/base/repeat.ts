/** A timer that starts again after each call. */
import type {Clock} from './clock.js';
import type {Disposable} from './disposable.js';

/**
 * Calls back at each multiple of the period on the monotonic clock, so that all timers of one process with the same period
 * share a wake-up: apart from each other, four such timers woke an idle entry 35 times a second for what ten times do.
 */
export function repeat(clock: Clock, periodMilliseconds: number, callback: () => void): Disposable {
	let timer: Disposable;
	const arm = () => {
		// Timers may fire a little early; the multiple that has just been served isn't served again.
		const next = (Math.floor((clock.now() / periodMilliseconds) + 0.5) + 1) * periodMilliseconds;
		timer = clock.schedule(next - clock.now(), () => {
			arm();
			callback();
		});
	};

	arm();
	return {
		dispose() {
			timer.dispose();
		},
	};
}
