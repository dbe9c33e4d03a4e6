/** Clock of a simulation that ticks its parts itself. */
import {Clock} from '../../../src/base/clock.js';
import type {Disposable} from '../../../src/base/disposable.js';

/** Returns the simulated time; timers are not supported. */
export class SimulationClock extends Clock {
	constructor(private readonly readTime: () => number) {
		super();
	}

	override now(): number {
		return this.readTime();
	}

	override wallTime(): number {
		return this.readTime();
	}

	override schedule(): Disposable {
		throw new Error('timers are not supported: the simulation ticks its parts itself');
	}
}
