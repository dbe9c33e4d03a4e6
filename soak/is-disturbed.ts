/** Whether something was disturbed. */
import {soakBounds} from './soak-bounds.js';
import type {SoakRecord} from './soak-record.js';

type Disturbance = SoakRecord['disturbances'][number];

/** Whether a disturbance that matters went on from the contact time before `from` until `to`. */
export function isDisturbed(record: SoakRecord, from: number, to: number, matters: (disturbance: Disturbance) => boolean): boolean {
	return record.disturbances.some(disturbance => disturbance.from <= to && disturbance.to >= from - soakBounds.contact && matters(disturbance));
}
