/** Time for code that awaits promises. */
import type {FakeClock} from './fake-clock.js';

const stepMilliseconds = 5;

/** Advances in small steps and lets promises settle after each. */
export async function advanceClock(clock: FakeClock, milliseconds: number): Promise<void> {
	for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
		clock.advance(Math.min(stepMilliseconds, milliseconds - passed));
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
