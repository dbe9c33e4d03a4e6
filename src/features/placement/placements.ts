/** The policies that registered themselves. */
import type {Placement} from './placement.js';

const registered = new Map<string, Placement>();

/** Policy files call `register` when they are imported; the settings name one. */
export const placements = {
	register(placement: Placement): void {
		registered.set(placement.name, placement);
	},

	names(): readonly string[] {
		return [...registered.keys()];
	},

	named(name: string): Placement | undefined {
		return registered.get(name);
	},
};
