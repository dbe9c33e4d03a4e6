/** Simulated network between the entries of a registry simulation. */
import type {MemberId} from '../../../src/base/member-id.js';
import type {RegistryMessage} from '../../../src/features/submissions/registry-message.js';
import type {InjectedBug} from './injected-bug.js';

type Probe = {readonly kind: 'ping' | 'pong'; readonly stamp: number};
type Envelope = {readonly at: number; readonly from: MemberId; readonly to: MemberId; readonly message: RegistryMessage | Probe};

/** Drops messages on cut links, and injects the bugs that concern messages. */
export class SimulatedNetwork {
	#inTransit: Envelope[] = [];
	readonly #cuts = new Set<string>();

	constructor(private readonly bug: InjectedBug, private readonly now: () => number) {}

	get size(): number {
		return this.#inTransit.length;
	}

	/** Drops all further messages from one entry to the other. */
	cut(from: MemberId, to: MemberId): void {
		this.#cuts.add(`${from}|${to}`);
	}

	heal(): void {
		this.#cuts.clear();
	}

	/** Removes and returns the messages in transit, except those on cut links. */
	take(): readonly Envelope[] {
		const envelopes = this.#inTransit;
		this.#inTransit = [];
		return envelopes.filter(({from, to}) => !this.#cuts.has(`${from}|${to}`));
	}

	send(from: MemberId, to: MemberId, message: RegistryMessage | Probe): void {
		if (this.bug === 'copies are not written' && message.kind === 'copy') {
			const {id, nonce, version} = message.record;
			this.#inTransit.push({
				at: this.now(), from: to, to: from, message: {
					kind: 'copied', id, nonce, version,
				},
			});
			return;
		}

		const sent = this.bug === 'joining registrars receive no records' && message.kind === 'state' ? {...message, records: []} : message;
		this.#inTransit.push({
			at: this.now() + (from === to ? 0 : 1), from, to, message: sent,
		});
	}
}
