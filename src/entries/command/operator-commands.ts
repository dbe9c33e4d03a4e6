/** The operators' commands on profiles. */
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

/** Each method is one command; printing and exit codes are the main module's. */
export class OperatorCommands {
	constructor(private readonly context: OperatorContext) {}

	async publish(profile: Profile): Promise<ChangeResult> {
		return appendChange(this.context, {kind: 'publish', ...this.#changeFields(), profile});
	}

	/** Based on the revision that the operator saw, or on the one that's in force now. */
	async revise(profile: Profile, base: number | undefined): Promise<ChangeResult> {
		const found = await this.#baseOf(profile.name, base);
		return found.kind === 'base'
			? appendChange(this.context, {
				kind: 'revise', ...this.#changeFields(), profile, base: found.base,
			})
			: found;
	}

	async retire(name: ProfileName, base: number | undefined): Promise<ChangeResult> {
		const found = await this.#baseOf(name, base);
		return found.kind === 'base'
			? appendChange(this.context, {
				kind: 'retire', ...this.#changeFields(), name, base: found.base,
			})
			: found;
	}

	/** Finds out what became of a change whose command ended with `unknown`. */
	async settle(changeId: string): Promise<ChangeResult> {
		const outcome = await findOutcome(this.context.stream, changeId);
		if (outcome === undefined) {
			return {kind: 'unknown', changeId, detail: 'the log can\'t be read, or has no such change: if it can be read, the change was not made'};
		}

		return confirmOutcome(this.context, outcome, this.context.clock.now());
	}

	async list(): Promise<readonly ProfileRevision[]> {
		const ledger = await readConfiguration(this.context.stream);
		return [...ledger.configuration.profiles.values()];
	}

	/** The changes of a profile that the log still holds, and what became of them. */
	async history(name: string): Promise<readonly HistoryEntry[]> {
		return readHistory(this.context.stream, name);
	}

	/** What differs between two revisions of a profile that the log still holds. */
	async differenceBetween(name: string, left: number, right: number): Promise<readonly string[]> {
		const history = await readHistory(this.context.stream, name);
		const profileAt = (revision: number) => {
			const entry = history.find(({offset}) => offset === revision);
			if (entry === undefined || entry.change.kind === 'retire') {
				throw new Error(`the log holds no revision ${revision} of ${name}`);
			}

			return entry.change.profile;
		};

		return profileDifference(profileAt(left), profileAt(right));
	}

	/** What a change would alter, against the log's present state. */
	async difference(profile: Profile): Promise<readonly string[]> {
		const ledger = await readConfiguration(this.context.stream);
		const current = ledger.configuration.profiles.get(profile.name);
		return profileDifference(current?.state === 'live' ? current.profile : undefined, profile);
	}

	async #baseOf(name: ProfileName, base: number | undefined): Promise<{readonly kind: 'base'; readonly base: Revision} | Extract<ChangeResult, {kind: 'rejected'}>> {
		if (base !== undefined) {
			return {kind: 'base', base: base as Revision};
		}

		const ledger = await readConfiguration(this.context.stream);
		const current = ledger.configuration.profiles.get(name);
		return current?.state === 'live' ? {kind: 'base', base: current.revision} : {kind: 'rejected', cause: 'absent', winner: current?.revision};
	}

	#changeFields(): Pick<Change, 'version' | 'changeId' | 'operator' | 'at'> {
		return {
			version: 1, changeId: randomUUID(), operator: userInfo().username, at: this.context.clock.wallTime(),
		};
	}
}
