/** Service is back soon after the last fault. */
import {Invariant} from '../invariant.js';
import {soakBounds} from '../soak-bounds.js';
import type {SoakRecord} from '../soak-record.js';

const leastShare = 0.9;

/** Of the jobs that were first sent after the recovery time, nearly all are answered. */
export class ServiceRecovery extends Invariant {
	override readonly name = 'service is back after the last fault';
	override readonly isTimed = true;

	override violations({jobs, healedAt}: SoakRecord): readonly string[] {
		const late = jobs.filter(({attempts}) => (attempts[0]?.sentAt ?? 0) > healedAt + soakBounds.recovery);
		const served = late.filter(({attempts}) => attempts.some(({outcome}) => outcome?.kind === 'answer' && outcome.status === 200));
		return late.length > 0 && served.length < leastShare * late.length ? [`${served.length} of ${late.length} jobs served`] : [];
	}
}
