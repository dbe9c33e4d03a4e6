/** A timer that starts again after each call. */
import type {Clock} from './clock.js';
import type {Disposable} from './disposable.js';

/**
 * Calls back at each multiple of the period on the monotonic clock, so that all timers of one process with the same period
 * share a wake-up, and an idle entry isn't woken by each of them apart.
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
