/** Asynchronous delays. */
import type {Clock} from './clock.js';

/** Resolves after a number of milliseconds on the clock. */
export async function wait(clock: Clock, milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		clock.schedule(milliseconds, resolve);
	});
}
