/** Tests whether a time range overlaps a fault or planned maintenance. */
import {soakBounds} from './soak-bounds.js';
import type {SoakRecord} from './soak-record.js';

type Disturbance = SoakRecord['disturbances'][number];

/** Whether a matching disturbance was active between `from`, less the margin after disturbances, and `to`. */
export function isDisturbed(record: SoakRecord, from: number, to: number, matches: (disturbance: Disturbance) => boolean): boolean {
	return record.disturbances.some(disturbance => disturbance.from <= to && disturbance.to >= from - soakBounds.disturbanceMargin && matches(disturbance));
}
