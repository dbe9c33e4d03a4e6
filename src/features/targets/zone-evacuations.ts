/** Zones that operators evacuate. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {Journal} from '../../runtime/journal/journal.js';

/** Targets of an evacuated zone get no new tasks and finish their runs, until the evacuation is cancelled. */
export class ZoneEvacuations implements Disposable {
	readonly #zones = new Set<AvailabilityZone>();
	readonly #change = new Emitter<void>();

	constructor(private readonly journal: Journal) {}

	get onDidChange() {
		return this.#change.event;
	}

	has(zone: AvailabilityZone): boolean {
		return this.#zones.has(zone);
	}

	/** Starts or cancels the evacuation of a zone. */
	set(zone: AvailabilityZone, isEvacuated: boolean): void {
		if (isEvacuated === this.#zones.has(zone)) {
			return;
		}

		if (isEvacuated) {
			this.#zones.add(zone);
		} else {
			this.#zones.delete(zone);
		}

		this.journal.record('zoneEvacuated', {zone, isEvacuated});
		this.#change.fire();
	}

	/** Replaces the set of evacuated zones. */
	replace(zones: ReadonlySet<AvailabilityZone>): void {
		for (const zone of new Set([...this.#zones, ...zones])) {
			this.set(zone, zones.has(zone));
		}
	}

	dispose(): void {
		this.#change.dispose();
	}
}
