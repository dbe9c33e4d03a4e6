/** Learned run times. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {ProfileName} from '../../base/profile-name.js';

const highestMilliseconds = 600_000;
const significantDigits = 2;
/** A histogram that is this full becomes the older one of two, so that old behaviour is forgotten. */
const samplesPerHistogram = 2000;
/** Below so many samples the declared time counts. */
const trustedSamples = 10;
/** For a task that nobody said or learned anything of. */
const unknownMilliseconds = 250;

/** Two histograms that take turns. */
type Learned = {current: Histogram; previous: Histogram | undefined};

/** Run times by profile; declared ones serve only until there are enough measured ones. */
export class RunTimes {
	readonly #learned = new Map<ProfileName, Learned>();

	record(profile: ProfileName, milliseconds: number): void {
		const learned = this.#learned.get(profile) ?? {current: emptyHistogram(), previous: undefined};
		this.#learned.set(profile, learned);
		learned.current.recordValue(Math.min(highestMilliseconds, Math.max(1, Math.round(milliseconds))));
		if (learned.current.totalCount >= samplesPerHistogram) {
			learned.previous = learned.current;
			learned.current = emptyHistogram();
		}
	}

	/** The mean in milliseconds. */
	mean(profile: ProfileName, declaredMilliseconds?: number): number {
		return this.#trusted(profile)?.mean ?? declaredMilliseconds ?? unknownMilliseconds;
	}

	/** The time in milliseconds that a share of the tasks stays under. */
	quantile(profile: ProfileName, share: number, declaredMilliseconds?: number): number {
		const percent = Math.min(100, share * 100);
		return this.#trusted(profile)?.getValueAtPercentile(percent) ?? declaredMilliseconds ?? unknownMilliseconds;
	}

	#trusted(profile: ProfileName): Histogram | undefined {
		const learned = this.#learned.get(profile);
		if (learned === undefined) {
			return undefined;
		}

		if (learned.previous !== undefined && learned.current.totalCount < samplesPerHistogram / 2) {
			return learned.previous;
		}

		return learned.current.totalCount >= trustedSamples ? learned.current : undefined;
	}
}

function emptyHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: highestMilliseconds,
		numberOfSignificantValueDigits: significantDigits,
		bitBucketSize: 32,
	});
}
