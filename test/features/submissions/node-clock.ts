/** The time of a world whose parts are ticked by hand. */
import {Clock} from '../../../src/base/clock.js';
import type {Disposable} from '../../../src/base/disposable.js';

/** Tells the world's time, and has no timers. */
export class NodeClock extends Clock {
	constructor(private readonly read: () => number) {
		super();
	}

	override now(): number {
		return this.read();
	}

	override wallTime(): number {
		return this.read();
	}

	override schedule(): Disposable {
		throw new Error('the world ticks its parts itself');
	}
}
