/** Commands with which operators manage profiles. */
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import type {ProfileName} from '../../base/profile-name.js';
import type {Revision} from '../../base/revision.js';
import type {ConfigurationRecord} from '../../features/profiles/configuration-record.js';
import type {Profile} from '../../features/profiles/profile.js';
import type {ProfileRevision} from '../../features/profiles/profile-revision.js';
import {appendChange} from './append-change.js';
import type {ChangeResult} from './change-result.js';
import {findOutcome} from './find-outcome.js';
import type {HistoryEntry} from './history-entry.js';
import type {OperatorContext} from './operator-context.js';
import {profileDifference} from './profile-difference.js';
import {readConfiguration} from './read-configuration.js';
import {readHistory} from './read-history.js';
import {confirmOutcome} from './confirm-outcome.js';

type Change = Exclude<ConfigurationRecord, {kind: 'snapshot'}>;

/** One method for each command. The main module prints the results and sets the exit code. */
export class OperatorCommands {
	constructor(private readonly context: OperatorContext) {}

	async publish(profile: Profile): Promise<ChangeResult> {
		return appendChange(this.context, {kind: 'publish', ...this.#changeFields(), profile});
	}

	/** Replaces a profile, based on the given revision or, by default, on the current one. */
	async revise(profile: Profile, base: number | undefined): Promise<ChangeResult> {
		const found = await this.#resolveBase(profile.name, base);
		return found.kind === 'base'
			? appendChange(this.context, {
				kind: 'revise', ...this.#changeFields(), profile, base: found.base,
			})
			: found;
	}

	async retire(name: ProfileName, base: number | undefined): Promise<ChangeResult> {
		const found = await this.#resolveBase(name, base);
		return found.kind === 'base'
			? appendChange(this.context, {
				kind: 'retire', ...this.#changeFields(), name, base: found.base,
			})
			: found;
	}

	/** Determines the outcome of a change whose command ended with `unknown`. */
	async settle(changeId: string): Promise<ChangeResult> {
		const outcome = await findOutcome(this.context.stream, changeId);
		if (outcome === undefined) {
			return {kind: 'unknown', changeId, detail: 'the log can\'t be read, or doesn\'t contain the change; if it can be read, the change was not made'};
		}

		return confirmOutcome(this.context, outcome, this.context.clock.now());
	}

	async list(): Promise<readonly ProfileRevision[]> {
		const replica = await readConfiguration(this.context.stream);
		return [...replica.configuration.profiles.values()];
	}

	/** The changes of a profile that the log retains, with their outcomes. */
	async history(name: string): Promise<readonly HistoryEntry[]> {
		return readHistory(this.context.stream, name);
	}

	/** Compares two revisions of a profile that the log retains. */
	async compareRevisions(name: string, left: number, right: number): Promise<readonly string[]> {
		const history = await readHistory(this.context.stream, name);
		const profileAt = (revision: number) => {
			const entry = history.find(({offset}) => offset === revision);
			if (entry === undefined || entry.change.kind === 'retire') {
				throw new Error(`the log contains no revision ${revision} of ${name}`);
			}

			return entry.change.profile;
		};

		return profileDifference(profileAt(left), profileAt(right));
	}

	/** Compares a profile with the current revision in the log. */
	async compareWithCurrent(profile: Profile): Promise<readonly string[]> {
		const replica = await readConfiguration(this.context.stream);
		const current = replica.configuration.profiles.get(profile.name);
		return profileDifference(current?.state === 'live' ? current.profile : undefined, profile);
	}

	async #resolveBase(name: ProfileName, base: number | undefined): Promise<{readonly kind: 'base'; readonly base: Revision} | Extract<ChangeResult, {kind: 'rejected'}>> {
		if (base !== undefined) {
			return {kind: 'base', base: base as Revision};
		}

		const replica = await readConfiguration(this.context.stream);
		const current = replica.configuration.profiles.get(name);
		return current?.state === 'live' ? {kind: 'base', base: current.revision} : {kind: 'rejected', cause: 'absent', winner: current?.revision};
	}

	#changeFields(): Pick<Change, 'version' | 'changeId' | 'operator' | 'at'> {
		return {
			version: 1, changeId: randomUUID(), operator: userInfo().username, at: this.context.clock.wallTime(),
		};
	}
}
