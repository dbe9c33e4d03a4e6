/** Messages on their way between entries of one world. */
import type {MemberId} from '../../../src/base/member-id.js';
import type {RegistryMessage} from '../../../src/features/submissions/registry-message.js';
import type {PlantedBug} from './planted-bug.js';

type Probe = {readonly kind: 'ping' | 'pong'; readonly stamp: number};
type Flight = {readonly at: number; readonly from: MemberId; readonly to: MemberId; readonly message: RegistryMessage | Probe};

/** Swallows what goes over a cut; planted bugs of messages act here. */
export class RegistryFlights {
	#flights: Flight[] = [];
	readonly #cuts = new Set<string>();

	constructor(private readonly bug: PlantedBug, private readonly now: () => number) {}

	get size(): number {
		return this.#flights.length;
	}

	/** Swallows what goes from one entry to the other, from now on. */
	cut(from: MemberId, to: MemberId): void {
		this.#cuts.add(`${from}|${to}`);
	}

	heal(): void {
		this.#cuts.clear();
	}

	/** What is under way and isn't cut off; from here on it's the caller's. */
	take(): readonly Flight[] {
		const flights = this.#flights;
		this.#flights = [];
		return flights.filter(({from, to}) => !this.#cuts.has(`${from}|${to}`));
	}

	send(from: MemberId, to: MemberId, message: RegistryMessage | Probe): void {
		if (this.bug === 'copies are not written' && message.kind === 'copy') {
			const {id, nonce, version} = message.record;
			this.#flights.push({
				at: this.now(), from: to, to: from, message: {
					kind: 'copied', id, nonce, version,
				},
			});
			return;
		}

		const sent = this.bug === 'entrants inherit nothing' && message.kind === 'state' ? {...message, records: []} : message;
		this.#flights.push({
			at: this.now() + (from === to ? 0 : 1), from, to, message: sent,
		});
	}
}
