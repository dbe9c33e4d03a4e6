/** The list of features that registered themselves. */
import type {Contribution} from './contribution.js';

const registered = new Map<string, Contribution>();

/** Contribution files call `register` when they are imported; the kernel reads the rest. */
export const contributions = {
	register(contribution: Contribution): void {
		if (registered.has(contribution.name)) {
			throw new Error(`contribution ${contribution.name} is registered twice`);
		}

		registered.set(contribution.name, contribution);
	},

	all(): readonly Contribution[] {
		return [...registered.values()];
	},

	get(name: string): Contribution {
		const contribution = registered.get(name);
		if (contribution === undefined) {
			throw new Error(`contribution ${name} is required but not registered`);
		}

		return contribution;
	},
};
