/** Transfers a leaving registrar's records to the remaining ones. */
import type {MemberId} from '../../base/member-id.js';
import type {RegistryMessageOf} from './registry-message-of.js';

type Message = RegistryMessageOf<'handover'>;

/** Resends each batch until it is acknowledged. */
export class Handover {
	readonly #batches = new Map<number, {readonly to: MemberId; readonly message: Message}>();
	#sequence = 0;

	constructor(private readonly send: (to: MemberId, message: Message) => void) {}

	get isDone(): boolean {
		return this.#batches.size === 0;
	}

	add(to: MemberId, records: Message['records']): void {
		this.#sequence += 1;
		const message: Message = {kind: 'handover', sequence: this.#sequence, records};
		this.#batches.set(this.#sequence, {to, message});
		this.send(to, message);
	}

	acknowledge(sequence: number): void {
		this.#batches.delete(sequence);
	}

	resend(): void {
		for (const {to, message} of this.#batches.values()) {
			this.send(to, message);
		}
	}
}
