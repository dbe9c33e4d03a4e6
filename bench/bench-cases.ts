/** The cases that registered themselves. */
import type {BenchCase} from './bench-case.js';

const registered = new Map<string, BenchCase>();

/** Case files call `register` when they are imported. */
export const benchCases = {
	register(...cases: readonly BenchCase[]): void {
		for (const benchCase of cases) {
			registered.set(benchCase.name, benchCase);
		}
	},

	named(name: string): BenchCase | undefined {
		return registered.get(name);
	},

	all(): readonly BenchCase[] {
		return [...registered.values()];
	},
};
