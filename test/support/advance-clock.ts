/** Advancing a fake clock for asynchronous code. */
import type {FakeClock} from './fake-clock.js';

const stepMilliseconds = 5;

/** Advances the clock in steps of 5 ms and lets promises settle after each step. */
export async function advanceClock(clock: FakeClock, milliseconds: number): Promise<void> {
	for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
		clock.advance(Math.min(stepMilliseconds, milliseconds - passed));
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
