/** Steps of a randomly generated registry scenario. */
import {match, P} from 'ts-pattern';
import type {SubmissionId} from '../../../src/base/submission-id.js';
import type {RegistrySimulation} from './registry-simulation.js';

const maxEntries = 5;

/** A step of the scenario; `entry` and `other` are indexes into the live entries. */
export type RegistryStep =
	| {readonly kind: 'submit'; readonly entry: number; readonly id: SubmissionId; readonly run: number}
	| {readonly kind: 'advance'; readonly milliseconds: number}
	| {readonly kind: 'pause'; readonly entry: number; readonly milliseconds: number}
	| {readonly kind: 'cut'; readonly entry: number; readonly other: number; readonly isMutual: boolean}
	| {readonly kind: 'kill' | 'leave' | 'delist'; readonly entry: number}
	| {readonly kind: 'heal' | 'add' | 'losePlatform'};

type Node = RegistrySimulation['nodes'][number];

/** Applies a step; does nothing if no entry is live. */
export async function applyStep(simulation: RegistrySimulation, step: RegistryStep): Promise<void> {
	if (step.kind === 'advance') {
		await simulation.advance(step.milliseconds);
		return;
	}

	const at = (index: number, act: (node: Node) => void) => {
		const node = simulation.live[index % Math.max(1, simulation.live.length)];
		if (node !== undefined) {
			act(node);
		}
	};

	match(step)
		.with({kind: P.union('heal', 'losePlatform')}, ({kind}) => {
			simulation[kind]();
		})
		.with({kind: 'add'}, () => {
			if (simulation.live.length < maxEntries) {
				simulation.add();
			}
		})
		.with({kind: P.union('kill', 'leave', 'delist')}, ({kind, entry}) => {
			at(entry, node => {
				simulation[kind](node);
			});
		})
		.with({kind: 'submit'}, ({entry, id, run}) => {
			at(entry, node => {
				simulation.submit(node, id, run);
			});
		})
		.with({kind: 'pause'}, ({entry, milliseconds}) => {
			at(entry, node => {
				simulation.pause(node, milliseconds);
			});
		})
		.with({kind: 'cut'}, ({entry, other, isMutual}) => {
			at(entry, from => {
				at(other, to => {
					if (from !== to) {
						simulation.cut(from, to);
						if (isMutual) {
							simulation.cut(to, from);
						}
					}
				});
			});
		})
		.exhaustive();
}
