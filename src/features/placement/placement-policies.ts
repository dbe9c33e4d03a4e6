/** Registry of placement policies. */
import type {PlacementPolicy} from './placement-policy.js';

const registered = new Map<string, PlacementPolicy>();

/** Policies register themselves when their modules are imported; the settings select one by name. */
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
