/** Periodic timers. */
import type {Clock} from './clock.js';
import type {Disposable} from './disposable.js';

/**
 * Calls back at multiples of the period on the monotonic clock. The alignment lets timers with the same period share
 * wake-ups, which reduces the load of idle entries.
 */
export function repeat(clock: Clock, periodMilliseconds: number, callback: () => void): Disposable {
	let timer: Disposable;
	const scheduleNext = () => {
		// Timers may fire slightly early; rounding avoids a second call for the same multiple.
		const next = (Math.floor((clock.now() / periodMilliseconds) + 0.5) + 1) * periodMilliseconds;
		timer = clock.schedule(next - clock.now(), () => {
			scheduleNext();
			callback();
		});
	};

	scheduleNext();
	return {
		dispose() {
			timer.dispose();
		},
	};
}
