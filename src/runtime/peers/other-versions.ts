/** Versions of the peer protocol that other entries speak. */
import type {Journal} from '../journal/journal.js';
import {protocolVersion} from './protocol-version.js';

/** Limit of versions that are logged: they are stated before any proof of the shared key. */
const loggedVersions = 8;

/** Logs each version once, since each attempt to connect shows it again. */
export class OtherVersions {
	readonly #logged = new Set<number>();

	constructor(private readonly journal: Journal) {}

	record(version: number, address: string): void {
		if (!this.#logged.has(version) && this.#logged.size < loggedVersions) {
			this.#logged.add(version);
			this.journal.record('peerVersionDiffers', {version, own: protocolVersion, address});
		}
	}
}
