/** Waiting on a clock. */
import type {Clock} from './clock.js';

/** Resolves after so many milliseconds of the clock. */
export async function wait(clock: Clock, milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		clock.schedule(milliseconds, resolve);
	});
}
