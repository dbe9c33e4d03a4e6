/** The forecast of an entry on which it is disabled. */
import {AdmissionForecast} from './admission-forecast.js';

/** Holds every job. */
export class DisabledForecast extends AdmissionForecast {
	override refusalOf(): undefined {
		return undefined;
	}

	override recordWaiting(): void {
		// No backlog is published.
	}

	override recordStart(): void {
		// No job was refused.
	}

	override recordEnd(): void {
		// No job was estimated.
	}
}
