/** Checks that service recovers after the last fault. */
import {Invariant} from '../invariant.js';
import {soakBounds} from '../soak-bounds.js';
import type {SoakRecord} from '../soak-record.js';

const minimumServedShare = 0.9;

/** At least 90 % of the jobs first submitted after the recovery time are answered with status 200. */
export class ServiceRecovery extends Invariant {
	override readonly name = 'service recovers after the last fault';
	override readonly isTimed = true;

	override violations({jobs, healedAt}: SoakRecord): readonly string[] {
		const late = jobs.filter(({attempts}) => (attempts[0]?.sentAt ?? 0) > healedAt + soakBounds.recoveryTime);
		const served = late.filter(({attempts}) => attempts.some(({outcome}) => outcome?.kind === 'answer' && outcome.status === 200));
		return late.length > 0 && served.length < minimumServedShare * late.length ? [`${served.length} of ${late.length} jobs served`] : [];
	}
}
