/** The clocks of all targets that this entry owns or owned lately. */
import type {InstanceId} from '../../base/instance-id.js';
import {ClockOffsets} from './clock-offsets.js';

/** Keeps what is known of each target's clock, also between two sessions. */
export class TargetClocks {
	readonly #offsets = new Map<InstanceId, ClockOffsets>();

	/** Returns the offsets of a target; also removes those of targets that aren't in use and were not owned lately. */
	of(id: InstanceId, now: number, isInUse: (other: InstanceId) => boolean): ClockOffsets {
		for (const [other, offsets] of this.#offsets) {
			if (!isInUse(other) && offsets.isExpired(now)) {
				this.#offsets.delete(other);
			}
		}

		const offsets = this.#offsets.get(id) ?? new ClockOffsets();
		this.#offsets.set(id, offsets);
		return offsets;
	}

	/** Discards all readings, for which it isn't known whether they are from before a suspension or after it. */
	discardReadings(): void {
		for (const {readings} of this.#offsets.values()) {
			readings.clear();
		}
	}

	/** Records time that only this entry's wall clock counted. */
	recordSkippedTime(milliseconds: number): void {
		for (const {readings} of this.#offsets.values()) {
			readings.recordSkippedTime(milliseconds);
		}
	}

	/** Records how much of the skipped time was a suspension: all or nothing. */
	explainSkippedTime(suspendedMilliseconds: number): void {
		for (const {readings} of this.#offsets.values()) {
			readings.explainSkippedTime(suspendedMilliseconds);
		}
	}
}
