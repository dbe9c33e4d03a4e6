/** Steps of a drawn history of the registry. */
import {match, P} from 'ts-pattern';
import type {SubmissionId} from '../../../src/base/submission-id.js';
import type {RegistryWorld} from './registry-world.js';

const mostEntries = 5;

/** One thing that happens; entries are counted among the live ones. */
export type RegistryStep =
	| {readonly kind: 'submit'; readonly entry: number; readonly id: SubmissionId; readonly run: number}
	| {readonly kind: 'advance'; readonly milliseconds: number}
	| {readonly kind: 'pause'; readonly entry: number; readonly milliseconds: number}
	| {readonly kind: 'cut'; readonly entry: number; readonly other: number; readonly isMutual: boolean}
	| {readonly kind: 'kill' | 'leave' | 'delist'; readonly entry: number}
	| {readonly kind: 'heal' | 'add' | 'losePlatform'};

type Node = RegistryWorld['nodes'][number];

/** Lets a step happen; one that names nobody does nothing. */
export async function playStep(world: RegistryWorld, step: RegistryStep): Promise<void> {
	if (step.kind === 'advance') {
		await world.advance(step.milliseconds);
		return;
	}

	const at = (index: number, act: (node: Node) => void) => {
		const node = world.live[index % Math.max(1, world.live.length)];
		if (node !== undefined) {
			act(node);
		}
	};

	match(step)
		.with({kind: P.union('heal', 'losePlatform')}, ({kind}) => {
			world[kind]();
		})
		.with({kind: 'add'}, () => {
			if (world.live.length < mostEntries) {
				world.add();
			}
		})
		.with({kind: P.union('kill', 'leave', 'delist')}, ({kind, entry}) => {
			at(entry, node => {
				world[kind](node);
			});
		})
		.with({kind: 'submit'}, ({entry, id, run}) => {
			at(entry, node => {
				world.submit(node, id, run);
			});
		})
		.with({kind: 'pause'}, ({entry, milliseconds}) => {
			at(entry, node => {
				world.pause(node, milliseconds);
			});
		})
		.with({kind: 'cut'}, ({entry, other, isMutual}) => {
			at(entry, from => {
				at(other, to => {
					if (from !== to) {
						world.cut(from, to);
						if (isMutual) {
							world.cut(to, from);
						}
					}
				});
			});
		})
		.exhaustive();
}
