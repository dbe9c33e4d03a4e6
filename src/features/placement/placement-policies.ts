/** The policies that registered themselves. */
import type {PlacementPolicy} from './placement-policy.js';

const registered = new Map<string, PlacementPolicy>();

/** Policy files call `register` when they are imported; the settings name one. */
export const placementPolicies = {
	register(placement: PlacementPolicy): void {
		registered.set(placement.name, placement);
	},

	names(): readonly string[] {
		return [...registered.keys()];
	},

	get(name: string): PlacementPolicy | undefined {
		return registered.get(name);
	},
};
