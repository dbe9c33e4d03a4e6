/** Checks that configuration changes reach every entry in time and in order. */
import {isDisturbed} from '../is-disturbed.js';
import {Invariant} from '../invariant.js';
import {soakBounds} from '../soak-bounds.js';
import type {SoakRecord} from '../soak-record.js';

type Probe = SoakRecord['probes'][number];
type Publication = SoakRecord['publications'][number];

/** Status 404 means that the route is absent and 200 that it is present; any other status tells nothing. */
function isAllowedBy(publication: Publication, {status, prefix}: Probe): boolean {
	const isPresent = publication.prefixes.has(prefix);
	return isPresent ? status !== 404 : status !== 200;
}

/**
 * Undisturbed entries apply a change within a time limit from its acceptance by the store. No entry process reverts to an
 * older configuration, whether disturbed or not.
 */
export class ConfigurationPropagation extends Invariant {
	override readonly name = 'a configuration change applies in time and is never reverted';
	override readonly isTimed = true;

	override violations(record: SoakRecord): readonly string[] {
		return [...this.#lateChanges(record), ...this.#reversions(record)];
	}

	#lateChanges(record: SoakRecord): readonly string[] {
		const {publications, probes} = record;
		return probes.filter(probe => {
			const isStoreDisturbed = isDisturbed(record, probe.sentAt, probe.sentAt, ({isOfStore}) => isOfStore);
			const limit = soakBounds.configurationDelay + (isStoreDisturbed ? soakBounds.configurationDelayDuringStoreFaults : 0);
			const newest = publications.findLastIndex(({ackedAt}) => ackedAt + limit < probe.sentAt);
			const isLate = newest !== -1 && !publications.slice(newest).some(publication => isAllowedBy(publication, probe));
			return isLate && !isDisturbed(record, probe.sentAt, probe.sentAt, ({entry}) => entry === probe.entry || entry === undefined);
		}).map(probe => `${probe.entry} answered ${probe.status} for ${probe.prefix} at ${probe.sentAt}`);
	}

	#reversions({publications, probes}: SoakRecord): readonly string[] {
		const incarnations = new Map<string, Probe[]>();
		for (const probe of probes) {
			const incarnation = `${probe.entry}/${probe.life}`;
			incarnations.set(incarnation, [...incarnations.get(incarnation) ?? [], probe]);
		}

		return [...incarnations].flatMap(([incarnation, ownProbes]) => {
			const found: string[] = [];
			let seen = {index: 0, at: 0};
			for (const probe of [...ownProbes].sort((left, right) => left.sentAt - right.sentAt)) {
				const allowed = firstAllowing(publications, seen.index, probe);
				if (allowed === -1 && probe.sentAt > seen.at + soakBounds.reorderTolerance) {
					found.push(`${incarnation} reverted to an older configuration: ${probe.status} for ${probe.prefix}`);
				} else if (allowed > seen.index) {
					seen = {index: allowed, at: probe.sentAt};
				}
			}

			return found;
		});
	}
}

function firstAllowing(publications: readonly Publication[], from: number, probe: Probe): number {
	return publications.findIndex((publication, index) => index >= from && isAllowedBy(publication, probe));
}
