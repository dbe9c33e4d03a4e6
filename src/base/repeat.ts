/** A timer that starts again after each call. */
import type {Clock} from './clock.js';
import type {Disposable} from './disposable.js';

/** Calls back every so many milliseconds, the next wait starting when the call has returned. */
export function repeat(clock: Clock, periodMilliseconds: number, callback: () => void): Disposable {
	let timer: Disposable;
	const arm = () => {
		timer = clock.schedule(periodMilliseconds, () => {
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
