/** The registry of contributions. */
import type {Contribution} from './contribution.js';

const registered = new Map<string, Contribution>();

/** Contribution files register themselves on import; names must be unique. */
export const contributions = {
	/** Adds a contribution; throws if its name is already registered. */
	register(contribution: Contribution): void {
		if (registered.has(contribution.name)) {
			throw new Error(`contribution ${contribution.name} is already registered`);
		}

		registered.set(contribution.name, contribution);
	},

	/** Returns all contributions in order of registration. */
	all(): readonly Contribution[] {
		return [...registered.values()];
	},

	/** Returns the contribution with the given name; throws if there is none. */
	get(name: string): Contribution {
		const contribution = registered.get(name);
		if (contribution === undefined) {
			throw new Error(`contribution ${name} is required but not registered`);
		}

		return contribution;
	},
};
