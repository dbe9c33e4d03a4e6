/** A configuration is in force in time, and never goes back within a life of an entry. */
import {isDisturbed} from '../is-disturbed.js';
import {Invariant} from '../invariant.js';
import {soakBounds} from '../soak-bounds.js';
import type {SoakRecord} from '../soak-record.js';

type Probe = SoakRecord['probes'][number];
type Publication = SoakRecord['publications'][number];

/** An answer of 404 denies a route, 200 uses it; any other says nothing of it. */
function isAllowedBy(publication: Publication, {status, prefix}: Probe): boolean {
	const isThere = publication.prefixes.has(prefix);
	return isThere ? status !== 404 : status !== 200;
}

/** Late by entries left undisturbed: the time from the store's acceptance. Going back: never, disturbed or not. */
export class ConfigurationPropagation extends Invariant {
	override readonly name = 'a configuration is in force in time and never goes back';
	override readonly isTimed = true;

	override violations(record: SoakRecord): readonly string[] {
		return [...this.#late(record), ...this.#backwards(record)];
	}

	#late(record: SoakRecord): readonly string[] {
		const {publications, probes} = record;
		return probes.filter(probe => {
			const isStoreDisturbed = isDisturbed(record, probe.sentAt, probe.sentAt, ({isOfStore}) => isOfStore);
			const bound = soakBounds.apply + (isStoreDisturbed ? soakBounds.applyStretch : 0);
			const newest = publications.findLastIndex(({ackedAt}) => ackedAt + bound < probe.sentAt);
			const isLate = newest !== -1 && !publications.slice(newest).some(publication => isAllowedBy(publication, probe));
			return isLate && !isDisturbed(record, probe.sentAt, probe.sentAt, ({entry}) => entry === probe.entry || entry === undefined);
		}).map(probe => `${probe.entry} answered ${probe.status} for ${probe.prefix} at ${probe.sentAt}`);
	}

	#backwards({publications, probes}: SoakRecord): readonly string[] {
		const lives = new Map<string, Probe[]>();
		for (const probe of probes) {
			const life = `${probe.entry}/${probe.life}`;
			lives.set(life, [...lives.get(life) ?? [], probe]);
		}

		return [...lives].flatMap(([life, own]) => {
			const found: string[] = [];
			let seen = {index: 0, at: 0};
			for (const probe of [...own].sort((left, right) => left.sentAt - right.sentAt)) {
				const allowed = firstAllowing(publications, seen.index, probe);
				if (allowed === -1 && probe.sentAt > seen.at + soakBounds.reorder) {
					found.push(`${life} went back: ${probe.status} for ${probe.prefix}`);
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
