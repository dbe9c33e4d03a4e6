/** Run times on a target of normal speed. */
import type {ProfileName} from '../../base/profile-name.js';
import {RecentSamples} from '../execution/recent-samples.js';
import {MeanRunTimes} from './mean-run-times.js';

const declaredSamples = 200;
/** Until there are this many declared times, each job is expected to take its own. */
const minimumDeclaredSamples = 4;
/** A declared time that is this much longer than usual describes a longer job, and is not just inaccurate. */
const longerJobFactor = 2;
/** Declared times that differ from the measured mean by more than this factor, which no speed of a target explains, aren't used. */
const credibleFactor = 2.5;

/**
 * Expects the usual declared time of a profile, from many jobs: a single one is inaccurate. Measured times depend on the speeds of
 * the targets that were used. If they were the base of the slowdowns, which in turn decide on which targets tasks run, both would drift.
 */
export class NormalRunTimes extends MeanRunTimes {
	readonly #declared = new Map<ProfileName, RecentSamples>();

	override expected(profile: ProfileName, declaredMilliseconds: number): number {
		const usual = this.#recordDeclared(profile, Math.log(Math.max(1, declaredMilliseconds)));
		const mean = this.mean(profile, usual);
		const isCredible = Math.max(usual / mean, mean / usual) <= credibleFactor;
		if (!isCredible) {
			return super.expected(profile, declaredMilliseconds);
		}

		return declaredMilliseconds > longerJobFactor * usual ? declaredMilliseconds : usual;
	}

	/** Returns the centre of the profile's declared times. */
	#recordDeclared(profile: ProfileName, logarithm: number): number {
		const samples = this.#declared.get(profile) ?? new RecentSamples(declaredSamples);
		this.#declared.set(profile, samples);
		samples.add(logarithm);
		return Math.exp(samples.count < minimumDeclaredSamples ? logarithm : samples.centre);
	}
}
