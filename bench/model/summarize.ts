/** The figures of one played hour. */
import type {ModelOutcome} from './model-outcome.js';
import {worthOf} from './worth-of.js';

const quarter = 0.25;

/** Shares from 0 to 1. */
type Summary = {
	readonly worth: number;
	readonly worstClass: number;
	readonly refused: number;
	/** Refused after more than a quarter of the objective: the caller could have known earlier. */
	readonly refusedLate: number;
	readonly byClass: ReadonlyMap<string, {readonly worth: number; readonly refused: number}>;
};

export function summarize(outcomes: readonly ModelOutcome[]): Summary {
	const classes = new Map<string, ModelOutcome[]>();
	for (const outcome of outcomes) {
		const {name} = outcome.job.kind;
		const own = classes.get(name) ?? [];
		own.push(outcome);
		classes.set(name, own);
	}

	const byClass = new Map([...classes].sort(([left], [right]) => left.localeCompare(right)).map(([name, own]) => [name, {worth: shareOfWorth(own), refused: shareOf(own, isUnserved)}]));
	return {
		worth: shareOfWorth(outcomes),
		worstClass: Math.min(...[...byClass.values()].map(({worth}) => worth)),
		refused: shareOf(outcomes, isUnserved),
		refusedLate: shareOf(outcomes, outcome => outcome.kind === 'refused' && outcome.tookMilliseconds > quarter * outcome.objectiveMilliseconds),
		byClass,
	};
}

function isUnserved({kind}: ModelOutcome): boolean {
	return kind !== 'answered';
}

function shareOf(outcomes: readonly ModelOutcome[], test: (outcome: ModelOutcome) => boolean): number {
	return outcomes.filter(outcome => test(outcome)).length / outcomes.length;
}

function shareOfWorth(outcomes: readonly ModelOutcome[]): number {
	let owed = 0;
	let earned = 0;
	for (const outcome of outcomes) {
		const worth = worthOf(outcome);
		owed += worth.owed;
		earned += worth.earned;
	}

	return earned / owed;
}
